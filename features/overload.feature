@small
Feature: Under overload, refusals are early and true and service is fair
  Each daemon runs at most 4 requests at a time and queues at most 8.

  Scenario: Refusals are early and true
    When callers send 60 requests of 20 tokens to daemon-1 at once
    Then each is answered completely or refused as not run
    And some were refused
    And every refusal came within 3 s
    And no refused request has run at any engine

  Scenario: Organisations share the slots by weight
    When two organisations keep 20 requests in flight at daemon-1 for 3 s
    Then traversa got from 2 to 5 times what almagro got

  Scenario: An urgent request goes before others that wait
    When callers send 12 requests of 100 tokens to daemon-2 at once
    And an urgent caller sends a request to daemon-2
    Then the urgent request was answered before the last 4 of the others

  Scenario: A retry budget stops retry storms
    Given every engine has refuse set to 1
    When callers send 120 requests of 2 tokens in turn to daemon-3
    Then the engines refused at most 180 requests

  Scenario: A slow caller holds nobody up
    When a caller reads nothing of a long stream from daemon-1
    And callers begin 2 streams of 20 tokens at every daemon
    Then every stream is complete

  Scenario: A rate above the organisation's is refused
    When limited sends 30 requests to daemon-1 above its rate
    Then some responses have status 429 and a Retry-After header

  Scenario: A request that cannot begin before its deadline is refused at once
    Given every engine's queue is 30 s long
    When an application with a deadline of 6 s sends a request to daemon-1
    Then the last response has status 503 and code overloaded
    And the last response came within 1 s
    And the last response reports not run
