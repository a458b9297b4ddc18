Feature: Every stream a caller receives is complete and in order
  A broken stream is resumed, continued at another engine or ended by an
  explicit error; it is never truncated silently.

  Scenario Outline: The proxy makes an answer <fault>
    Given every engine's link has <field> set to <value>
    When a caller streams 40 tokens from daemon-1
    Then the stream is complete

    Examples:
      | fault               | field        | value |
      | lose a chunk        | drop_chunk   | 7     |
      | repeat a chunk      | repeat_chunk | 7     |
      | swap two chunks     | swap_chunk   | 7     |
      | end by a reset      | reset_after  | 3000  |
      | end at once         | lose_answers | 1     |

  Scenario: Every engine breaks each connection again and again
    Given every engine has break_after set to 5
    When a caller streams 30 tokens from daemon-2
    Then the stream is complete

  Scenario: An engine is killed in the middle of streams
    When callers begin 12 streams of 200 tokens at every daemon
    And the engines have streams running
    And engine-1 is killed
    Then every stream is complete

  Scenario: Every engine is killed in the middle of streams
    When callers begin 8 streams of 200 tokens at every daemon
    And the engines have streams running
    And every engine is killed
    Then every stream is complete or ends in an explicit error

  Scenario: Answers cross over
    Given the responses of 3 pairs of connections are swapped at every engine
    When callers begin 4 streams of 10 tokens at every daemon
    Then every stream is complete

  Scenario: Answers of application calls cross over
    Given the responses of 2 pairs of connections are swapped at every application server
    When callers send booking "crossed-a" to every daemon at the same moment
    Then every response echoes its own request

  Scenario: A late answer never reaches another request
    Given every engine's link has delay_ms set to 400
    When callers begin 4 streams of 10 tokens at every daemon
    Then every stream is complete

  Scenario: Half-open connections to an engine
    Given the link of engine-1 is half open
    When callers begin 4 streams of 10 tokens at every daemon
    And the faults are lifted after 1 s
    Then every stream is complete
