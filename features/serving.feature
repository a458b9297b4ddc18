Feature: The whole path
  Callers send requests to any daemon and receive complete responses. The links
  between the processes pass through a proxy.

  Scenario: A model request is streamed in order
    When a caller streams 20 tokens from daemon-1
    Then the stream is complete

  Scenario: A model request without events
    When a caller asks daemon-2 for 12 tokens without streaming
    Then the response has the text that the engine generates

  Scenario: A shared prompt is computed once
    When a caller streams 4 tokens about shared rules from daemon-1
    And a caller streams 4 tokens about shared rules from daemon-2
    And a caller streams 4 tokens about shared rules from daemon-3
    Then every stream is complete
    And the shared rules were computed once

  Scenario: A repeatable application call
    When a caller calls stock at daemon-3
    Then the last response has status 200
    And the call has run 1 time

  Scenario Outline: A bad request gets a typed error
    When a caller wrongly sends <what> to daemon-1
    Then the last response has status <status> and code <code>
    And the last response names a remedy
    And the daemons have logged no traceback

    Examples:
      | what                | status | code                  |
      | malformed JSON      | 400    | invalid_request_error |
      | a wrong type        | 400    | invalid_request_error |
      | no messages         | 400    | invalid_request_error |
      | an unknown model    | 404    | model_not_found       |
      | an oversize body    | 413    | request_too_large     |
      | an oversize header  | 413    | request_too_large     |
      | no key              | 401    | invalid_api_key       |
      | a wrong key         | 401    | invalid_api_key       |
      | an unknown route    | 404    | unknown_route         |
      | a wrong method      | 405    | method_not_allowed    |

  Scenario: A caller that leaves early leaves nothing behind
    When a caller disconnects from daemon-1 in the middle of a stream
    Then daemon-1 has no request running
    And the engines have no stream running
