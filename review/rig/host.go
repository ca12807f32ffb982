package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	// program is the host's program, as the deploy file runs it from the root of the repository.
	program = "target/cicadapitch-front"
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 15 * time.Second
)

// Host is a process of the program.
type Host struct {
	Name string
	// Callers, ReadyAt and Directory are the ip:port at which the host serves.
	Callers, ReadyAt, Directory string
	settings                    string
	log                         *os.File
	cmd                         *exec.Cmd
	ended                       chan struct{}
}

// settingsTemplate is the settings file of a host of a small deployment.
const settingsTemplate = `node_name = "%[1]s"
role = "front"
machine_class = "front"
serves = ["front", "directory"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
internal_ports = [%[4]d, %[5]d]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"]
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
[listen]
front = "%[6]s"
ready = "%[7]s"
directory = "%[8]s"
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
address = "%[9]s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// NewHost writes the settings of the host with an index, from 1, to dir. store is the ip:port of
// the store as the host reaches it.
func NewHost(dir string, index int, store string) (*Host, error) {
	zone := fmt.Sprintf("z%d", (index-1)%3+1)
	ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, os.Getpid()/100%250, index)
	ports := make([]int, 4)
	for i := range ports {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, index), Callers: at(1), ReadyAt: at(2), Directory: at(3)}
	h.settings = filepath.Join(dir, h.Name+".toml")
	text := fmt.Sprintf(settingsTemplate, h.Name, ip, zone, ports[0], ports[0]+15, h.Callers, h.ReadyAt, h.Directory, store)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// Start starts the process. Its log goes to a file beside the settings.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log, h.ended = log, make(chan struct{})
	h.cmd = exec.Command(program)
	h.cmd.Env = append(os.Environ(), "CICADAPITCH_BOOT="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = h.cmd.Wait()
		close(h.ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s os.Signal) { _ = h.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.ended
	_ = h.log.Close()
}

// Ready reports whether the host answers the platform's check with 200.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ReadyAt + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func AwaitReady(hosts []*Host) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range hosts {
			if h.Ready() {
				n++
			}
		}
		if n == len(hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts are ready", n, len(hosts))
		}
	}
}
