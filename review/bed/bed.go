package bed

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	// Held means that the rule was kept, Broken that it was broken.
	Held   = 0
	Broken = 1
	// Unusable means that the case could not run.
	Unusable = 2
)

// Bed holds the processes and the record of one run of a case.
type Bed struct {
	dir     string
	network string
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	hosts  []*Host
	ending bool
}

// Trouble reports whether the run brings about the disruption. TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case that writes its record to the file that the first argument names, and exits with the code that the
// case returns.
func Main(run func(b *Bed) (int, error)) {
	code := Unusable
	b, err := newBed()
	if err == nil {
		code, err = run(b)
		b.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = Unusable
	}
	os.Exit(code)
}

func newBed() (*Bed, error) {
	if len(os.Args) != 2 {
		return nil, errors.New("the only argument is the path of the record")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		return nil, err
	}
	b := &Bed{dir: dir, start: time.Now(), file: file, record: bufio.NewWriter(file)}
	if b.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		b.close()
		os.Exit(Unusable)
	}()
	return b, nil
}

// freeNetwork returns the first two octets of a loopback network in which nothing listens at the ports of hosts.
func freeNetwork() (string, error) {
	for i := range 150 {
		network := fmt.Sprintf("127.%d", 60+(i+os.Getpid())%150)
		free := true
		for host := 1; host <= 4 && free; host++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1.%d:%d", network, host, frontPort))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no loopback network is free")
}

// Log writes a line to the record, with the milliseconds since the start.
func (b *Bed) Log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%7d ms  %s\n", time.Since(b.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// Verdict writes the last line of the record and returns the exit code.
func (b *Bed) Verdict(broken bool, format string, args ...any) (int, error) {
	code, word := Held, "held"
	if broken {
		code, word = Broken, "BROKEN"
	}
	line := fmt.Sprintf("verdict: %s: %s", word, fmt.Sprintf(format, args...))
	b.Log("%s", line)
	fmt.Println(line)
	return code, nil
}

// close ends all processes and completes the record.
func (b *Bed) close() {
	b.mu.Lock()
	b.ending = true
	hosts := b.hosts
	b.mu.Unlock()
	for _, h := range hosts {
		h.Kill()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Flush()
	b.file.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs are in", b.dir)
	}
}

// Host is one process of cicadapitch-front.
type Host struct {
	Name, IP, Zone string

	bed *Bed
	cmd *exec.Cmd
}

// StartHosts starts n hosts, in turn in the zones, before the store at an address.
func (b *Bed) StartHosts(n int, zones []string, store string) ([]*Host, error) {
	for i := range n {
		zone := zones[i%len(zones)]
		h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, i+1), IP: fmt.Sprintf("%s.1.%d", b.network, i+1), Zone: zone, bed: b}
		if err := os.WriteFile(h.settings(), settings(h, zones, store), 0o600); err != nil {
			return nil, err
		}
		b.mu.Lock()
		b.hosts = append(b.hosts, h)
		b.mu.Unlock()
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	return b.hosts, nil
}

func (h *Host) settings() string { return filepath.Join(h.bed.dir, h.Name+".toml") }

// Address returns the ip:port for requesters.
func (h *Host) Address() string { return fmt.Sprintf("%s:%d", h.IP, frontPort) }

// Start starts the host's process with the command of the deploy file.
func (h *Host) Start() error {
	h.bed.mu.Lock()
	defer h.bed.mu.Unlock()
	if h.bed.ending {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(h.bed.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command("target/cicadapitch-front")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.bed.dir, "CICADAPITCH_BOOT=" + h.settings()}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	return h.cmd.Start()
}

// Signal sends a signal to the host's process, which may have ended.
func (h *Host) Signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// Kill ends the host's process at once and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill() // it may have ended
	_ = h.cmd.Wait()
	h.cmd = nil
}
