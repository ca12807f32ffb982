package bed

import (
	"fmt"
	"strings"
)

// Ports of every host.
const (
	frontPort     = 8625
	readyPort     = 8621
	directoryPort = 8620
)

// settingsTemplate is a settings file as the platform gives it, with the bounds of the small installations. Its
// parameters are the host, its address, its zone, the zones, the ports and the address of the store.
const settingsTemplate = `node_name = "%[1]s"
role = "front"
machine_class = "front"
serves = ["front","directory"]
ip = "%[2]s"
zone = "%[3]s"
region = "obb"
internal_ports = [7740,7755]
seeds = []
bootstrap = true
failure_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
%[4]s
[listen]
front = "%[2]s:%[5]d"
ready = "%[2]s:%[6]d"
directory = "%[2]s:%[7]d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 52
cold_excess = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 10
ttl_max_s = 5
[platform]
address = "%[8]s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// settings returns the settings file of a host.
func settings(h *Host, zones []string, store string) []byte {
	var list strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&list, "%s = \"obb\"\n", z)
	}
	return fmt.Appendf(nil, settingsTemplate, h.Name, h.IP, h.Zone, list.String(), frontPort, readyPort, directoryPort, store)
}
