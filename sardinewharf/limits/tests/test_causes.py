from sardinewharf import limits


# A caller that wrote a part's id in another case had another part.
def test_a_part_is_the_same_in_each_spelling_of_its_id():
    assert limits.make_part_causes(["5C1E", "5c1e", "aa"]) == (
        limits.make_part_cause("5c1e"),
        limits.make_part_cause("aa"),
    )


def test_a_part_is_no_request():
    part = limits.make_part_cause("aa")
    for caller in ("", "part", "aa"):
        request = limits.make_request_cause(caller, b"aa")
        assert request.fingerprint != part.fingerprint
