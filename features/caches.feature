Feature: Cache entries that must not be used are never relied on

  Scenario: Two organisations send the same text
    When almagro streams 4 tokens about the same rules
    And traversa streams 4 tokens about the same rules
    Then every stream is complete
    And the rules were computed 2 times

  Scenario: An engine crashes and comes back empty
    When almagro streams 4 tokens about the same rules
    And every engine is killed
    And the engines are started again
    And almagro streams 4 tokens about the same rules
    Then every stream is complete
    And the last decision expected 0 cached blocks
    And the rules were computed 1 time

  Scenario: New weights are put in force in the middle of traffic
    When callers keep streaming while the weights become w2
    Then every stream is complete under one weights version
    And a stream begun now has weights w2
    And no stream used cached blocks of other weights
