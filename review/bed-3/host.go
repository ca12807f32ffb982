package bed3

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// settingsTemplate is the settings file of a host with the bounds of a small deployment. Its parameters are the name,
// the address and the zone of the host, and the address of the store.
const settingsTemplate = `node_name = "%[1]s"
role = "front"
machine_class = "front"
serves = ["front","directory"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
internal_ports = [7740, 7755]
seeds = []
bootstrap = false
heartbeat_ms = 1200
discovery = "platform"
entry = "directory"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
[listen]
front = "%[2]s:8001"
ready = "%[2]s:8002"
directory = "%[2]s:8003"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
config_apply_ms = 2000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
retry_budget_ratio = 0.2
retry_budget_extra = 52
budget_window_s = 10
cold_excess = 1.5
cold_slack = 5
ttl_max_s = 5
[platform]
address = "%[4]s"
form = "kv"
ttl_min_ms = 1000
`

// Host is a host of the deployment, whose process starts again after it has ended.
type Host struct {
	// Name, IP and Zone are those of the host's settings.
	Name, IP, Zone string

	bed *Bed
	mu  sync.Mutex
	cmd *exec.Cmd
	// held is true while the machine has no power, so that the process does not start.
	held, stopped bool
}

// AddHost starts a host in a zone. store is the address at which it reaches the platform's store.
func (b *Bed) AddHost(zone, store string) (*Host, error) {
	i := len(b.Hosts) + 1
	h := &Host{Name: fmt.Sprintf("host-%d", i), IP: platformtest.LoopbackAddress(1, i), Zone: zone, bed: b}
	path := h.settingsPath()
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsTemplate, h.Name, h.IP, zone, store), 0o600); err != nil {
		return nil, err
	}
	b.Hosts = append(b.Hosts, h)
	return h, h.startProcess()
}

// Address returns the ip:port for requesters.
func (h *Host) Address() string { return h.IP + ":8001" }

func (h *Host) settingsPath() string { return filepath.Join(h.bed.dir, h.Name+".toml") }

// LogPath returns the path of the file that holds what the host's processes write.
func (h *Host) LogPath() string { return filepath.Join(h.bed.dir, h.Name+".log") }

func (h *Host) startProcess() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.held {
		return nil
	}
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(hostProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CICADAPITCH_BOOT=" + h.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = log.Close() // the process has its own descriptor
	if err != nil {
		return err
	}
	h.cmd = cmd
	go h.await(cmd)
	return nil
}

// await starts the process again after it has ended.
func (h *Host) await(cmd *exec.Cmd) {
	err := cmd.Wait()
	h.bed.Record("process of %s ended: %v", h.Name, err)
	time.Sleep(restartDelay)
	if err := h.startProcess(); err != nil {
		h.bed.Record("process of %s did not start: %v", h.Name, err)
	}
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // it may have ended already
	}
}

// PowerOff kills the host's process and starts it again after a time.
func (h *Host) PowerOff(d time.Duration) {
	h.mu.Lock()
	h.held = true
	h.mu.Unlock()
	h.Signal(syscall.SIGKILL)
	time.AfterFunc(d, func() {
		h.mu.Lock()
		h.held = false
		h.mu.Unlock()
		if err := h.startProcess(); err != nil {
			h.bed.Record("process of %s did not start: %v", h.Name, err)
		}
	})
}

// stop ends the host's process for good.
func (h *Host) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		if b, err := os.ReadFile(h.LogPath()); err == nil {
			_ = os.WriteFile(filepath.Join(dir, h.Name+".log"), b, 0o600)
		}
	}
}
