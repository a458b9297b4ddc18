Feature: Daemons restart, drain, and see endpoints leave

  Scenario: A daemon that restarts serves at once
    When daemon-2 is killed
    And daemon-2 is started again
    Then daemon-2 serves within 5 s

  Scenario: A daemon restarts while the platform is out
    Given the key-value service is down
    And the VM list is down
    When daemon-2 is killed
    And daemon-2 is started again
    Then daemon-2 serves within 8 s

  Scenario: A herd restarts while the platform is out and one peer lives
    Given the key-value service is down
    And the VM list is down
    When daemon-1 is killed
    And daemon-2 is killed
    And daemon-1 is started again
    And daemon-2 is started again
    Then daemon-1 serves within 8 s
    And daemon-2 serves within 8 s

  Scenario: A herd restarts with the platform up
    When every daemon is killed
    And every daemon is started again
    Then every daemon serves within 8 s

  Scenario: A leaving engine gets no new work though the VM list lags
    When callers keep streaming for 6 s while engine-2 leaves
    Then every stream is complete
    And engine-2 got no new work 3 s after it began to leave

  Scenario: A graceful shutdown cuts no request
    When callers begin 8 streams of 300 tokens at every daemon
    And the engines have streams running
    And daemon-1 is asked to stop
    And callers keep sending to daemon-1 while the load balancer has not noticed
    Then every stream is complete
    And daemon-1 has exited by itself
