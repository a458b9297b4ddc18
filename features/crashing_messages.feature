@crash @spare
Feature: A message that crashes each engine that runs it is stopped
  Requests of which no two are alike share one message that crashes engines, and
  their first message with sound requests.

  Scenario: Callers send it in many requests to different daemons
    When callers begin 6 streams of 250 tokens at every daemon
    And the engines have streams running
    And callers send 12 requests with the crashing message to the daemons in turn
    Then at most 3 engines have crashed
    And the last response has status 422 and code request_quarantined
    And every stream is complete
