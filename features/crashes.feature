@crash
Feature: A request that crashes each endpoint that runs it is stopped
  One request crashes at most two engines, however often it is sent again, and
  no other request is refused.

  Scenario: Its caller sends it again and again to different daemons
    When callers begin 6 streams of 250 tokens at every daemon
    And the engines have streams running
    And a caller sends the crashing request 9 times to the daemons in turn
    Then at most 2 engines have crashed
    And the last response has status 422 and code request_quarantined
    And every stream is complete
