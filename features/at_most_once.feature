Feature: A request that may not be repeated runs at most once
  The application servers count the runs of each key. They do not reject a
  repeat, so that a second run would be counted.

  Scenario: Callers send the same key to every daemon at the same moment
    When callers send booking "same" to every daemon at the same moment
    Then booking "same" has run once
    And every response is the same complete response

  Scenario: A repeat of a completed request gets the same answer
    When a caller sends booking "done" to daemon-1
    And a caller sends booking "done" to daemon-3
    Then booking "done" has run once
    And every response is the same complete response

  Scenario: A large answer is kept whole
    When a caller sends a booking "large" of 30000 bytes to daemon-1
    And a caller sends a booking "large" of 30000 bytes to daemon-2
    Then booking "large" has run once
    And every response is the same complete response

  Scenario: The same key with another body is refused
    When a caller sends booking "reused" to daemon-1
    And a caller sends booking "reused" with another body to daemon-2
    Then the last response has status 422 and code idempotency_key_reused
    And booking "reused" has run once

  Scenario: A request without a key is sent once and says so
    Given the application servers lose their responses
    When a caller sends a booking without a key to daemon-1
    Then the last response reports unknown
    And the call has run 1 time

  Scenario: A claim takes effect while its answer is lost
    Given the key-value service loses the responses to 3 writes
    When a caller sends booking "lost" to daemon-1
    Then the last response has status 200
    And booking "lost" has run once

  Scenario: The proxy loses the answers of claims
    Given daemon-1 loses 2 responses of the key-value service
    When a caller sends booking "lost-link" to daemon-1
    Then booking "lost-link" has run at most once
    And every reported "not run" was true

  Scenario Outline: A daemon is killed <step>
    Given <fault>
    When a caller begins booking "<key>" at daemon-1
    And <moment>
    And daemon-1 is killed
    And the faults are lifted
    And a caller sends booking "<key>" to daemon-2
    Then booking "<key>" has run at most once
    And every reported "not run" was true

    Examples:
      | step                       | key    | fault                                           | moment                      |
      | before its claim is stored | kill-1 | the key-value service stalls writes             | a write has reached it      |
      | before its dispatch lands  | kill-2 | the application servers do not respond          | a claim is stored           |
      | while its call runs        | kill-3 | the application servers take 1500 ms to respond | booking "kill-3" is running |
      | before its answer is kept  | kill-4 | the application servers take 700 ms to respond  | booking "kill-4" is running |

  Scenario Outline: A daemon is frozen <step> and thawed past every deadline
    Given <fault>
    When a caller begins booking "<key>" at daemon-1
    And <moment>
    And daemon-1 is frozen
    And the faults are lifted
    And a caller sends booking "<key>" to daemon-2
    And daemon-1 is thawed
    And every caller has a response
    Then booking "<key>" has run at most once
    And every reported "not run" was true

    Examples:
      | step                       | key      | fault                                           | moment                        |
      | before its claim is stored | freeze-1 | the key-value service stalls writes             | a write has reached it        |
      | before its dispatch lands  | freeze-2 | the application servers do not respond          | a claim is stored             |
      | while its call runs        | freeze-3 | the application servers take 1500 ms to respond | booking "freeze-3" is running |

  Scenario: The key-value service is out
    Given the key-value service is down
    When a caller first sends booking "out" to daemon-1
    Then the last response reports not run
    And booking "out" has run 0 times

  Scenario: A repeat while the key-value service is out is not called "not run"
    When a caller sends booking "out-later" to daemon-1
    And the key-value service goes down
    And a caller sends booking "out-later" to daemon-2
    Then the last response reports unknown
    And booking "out-later" has run once

  Scenario: The key-value service goes out before the answer is kept
    Given the application servers take 700 ms to respond
    When a caller begins booking "unkept" at daemon-1
    And booking "unkept" is running
    And the key-value service goes down
    And every caller has a response
    And the key-value service is back
    And a caller keeps sending booking "unkept" to daemon-2 until it succeeds
    Then booking "unkept" has run once
    And the last response has status 200

  Scenario: The key-value service is slow
    Given the key-value service takes 300 ms to respond
    When callers send booking "slow" to every daemon at the same moment
    Then booking "slow" has run at most once
    And every reported "not run" was true

  Scenario: Failure domains are cut off from each other
    Given failure domain fd1 is cut off from the others
    When callers send booking "cut" to every daemon at the same moment
    Then booking "cut" has run at most once
    And every reported "not run" was true

  Scenario: A failure domain is cut off from the platform
    Given failure domain fd1 is cut off from the platform
    When callers send booking "apart" to every daemon at the same moment
    Then booking "apart" has run at most once
    And every reported "not run" was true

  Scenario: Servers that cannot be reached leave the key free
    Given the application servers are cut off
    When a caller sends booking "free" to daemon-1
    Then the last response reports not run
    When the faults are lifted
    And a caller keeps sending booking "free" to daemon-2 until it succeeds
    Then the last response has status 200
    And booking "free" has run once
