package membership

// HeartbeatTargets is heartbeatTargets, for tests.
var HeartbeatTargets = heartbeatTargets
