"""Fuzzes the retry budgets of four gateways over a sliding window."""

import os

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from sardinewharf import limits

_IS_LONG = os.environ.get("SARDINEWHARF_FUZZ") == "long"
_RATIO = 0.2
_EXTRA = 14.0
_WINDOW_S = 10.0

event = st.tuples(
    st.integers(0, 3), st.booleans(), st.sampled_from([0.0, 0.01, 0.3, 2.5])
)


@seed(20261204)
@settings(max_examples=10_000 if _IS_LONG else 300, deadline=None)
@given(events=st.lists(event, max_size=120))
def test_all_gateways_together_keep_the_budget_in_any_window(events):
    share = limits.BudgetShare(_RATIO, _EXTRA / 4, _WINDOW_S)
    budgets = [limits.WindowBudget(share) for _ in range(4)]
    now = 100.0
    requests, retries = [], []
    for index, is_retry, pause in events:
        now += pause
        if not is_retry:
            budgets[index].count_request(now)
            requests.append(now)
        elif budgets[index].take(now):
            retries.append(now)
    for end in retries:
        begin = end - _WINDOW_S
        sent_again = sum(begin < at <= end for at in retries)
        # Requests of the window and of the one before it add to the budget.
        counted = sum(begin - _WINDOW_S < at <= end for at in requests)
        assert sent_again <= _EXTRA + _RATIO * counted
