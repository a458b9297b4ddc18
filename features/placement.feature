@rollout
Feature: Engines are brought to the wanted weights a few at a time
  One failure domain has 6 engines, of which 3 ignore fencing tokens. The model
  needs at least 3 ready engines.

  Scenario: A rollout keeps its bounds
    When the weights become r1 while the engines are watched
    Then at most 2 engines loaded at the same time
    And at least 3 engines were ready at any time
    And every engine has weights r1

  Scenario: The placer is frozen past its lease and thawed
    When the placement leader is frozen
    And the weights become r2 at another daemon
    Then every engine gets weights r2 within 30 s
    When the placement leader is thawed
    Then every engine keeps weights r2 for 3 s

  Scenario: A rollout that fails is halted and said so
    Given engines that never load weights bad
    When the weights become bad, confirmed at daemon-1
    Then a daemon reports that the rollout is halted
    And at least 3 engines still serve
