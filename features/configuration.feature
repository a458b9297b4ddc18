Feature: What operators confirm is in force everywhere and never reverts

  Scenario: Nothing takes effect until it is confirmed
    When an operator plans weights p1 with the tool at daemon-1
    Then the tool printed "~ models/proof weights: 'w1' -> 'p1'"
    And the tool printed "Cached prefixes are lost of: proof"
    And every daemon still has the previous version
    When the operator confirms with the tool at daemon-2
    Then every daemon has the next version within 15 s

  Scenario: Operators race
    When two operators plan on the same version
    And both confirm
    Then one is refused as stale and its error names the other's change
    And every daemon has the next version within 15 s

  Scenario: A confirm is sent twice
    When an operator plans weights t1 at daemon-1
    And the same plan is confirmed at daemon-1 and again at daemon-3
    Then both responses name the same version

  Scenario: The answer of a confirm is lost
    Given the key-value service loses the responses to 3 writes
    When an operator plans weights l1 at daemon-1
    And the confirm is sent to daemon-1 until it succeeds
    Then the history lists the plan once

  Scenario: The key-value service is out during a confirm
    When an operator plans weights o1 at daemon-1
    And the key-value service goes down
    And the plan is confirmed at daemon-1
    Then the response says that nothing was changed
    When the key-value service is back
    And the plan is confirmed at daemon-2
    Then every daemon has the next version within 15 s

  Scenario: A failure domain is cut off during a change and joins again
    Given failure domain fd3 is cut off from the others
    And failure domain fd3 is cut off from the platform
    When an operator plans weights c1 at daemon-1
    And the plan is confirmed at daemon-1
    Then daemon-3 serves within 5 s
    When the faults are lifted
    Then every daemon has the next version within 15 s
    And no daemon ever reverted to an older version

  Scenario: An organisation's key can do nothing here
    When a caller asks for the status with the key of almagro
    Then the operator API responds with status 401
    And no log contains a secret

  Scenario: A wrong document is refused with every field named
    When an operator plans a document with 3 mistakes at daemon-1
    Then the operator API responds with status 400
    And each mistake is named with its remedy
