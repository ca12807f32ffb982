package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/examples/quickstart"
	"cicadapitch.example/cicadapitch/settings"
)

// startTimeout bounds the start of a process on a loaded machine.
const startTimeout = 60 * time.Second

// daemonBinary is built once for all tests, with the race detector on.
var daemonBinary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	daemonBinary = filepath.Join(dir, "cicadapitchd")
	build := exec.Command("go", "build", "-race", "-o", daemonBinary, "../cmd/cicadapitchd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// fleet is a deployment whose stand-ins live in the test and whose daemons are
// processes of their own.
type fleet struct {
	*deployment.Local
	t     *testing.T
	hosts []*process
}

// process is one daemon.
type process struct {
	settings *settings.Settings
	cmd      *exec.Cmd
	done     chan struct{}
}

// newFleet starts the quickstart deployment. Edit changes the settings of the
// hosts before they start.
func newFleet(t *testing.T, edit ...func([]*settings.Settings)) *fleet {
	t.Helper()
	local, err := deployment.NewLocal(quickstart.Questionnaire)
	require.NoError(t, err)
	for _, e := range edit {
		e(local.Settings())
	}
	f := &fleet{Local: local, t: t}
	t.Cleanup(f.end)
	for _, s := range local.Settings() {
		f.hosts = append(f.hosts, f.start(s))
	}
	f.awaitReady()
	return f
}

// start starts a daemon with the settings.
func (f *fleet) start(s *settings.Settings) *process {
	f.t.Helper()
	body, err := json.Marshal(s)
	require.NoError(f.t, err)
	file := filepath.Join(f.t.TempDir(), string(s.Host)+".yaml")
	require.NoError(f.t, os.WriteFile(file, body, 0o600))
	p := &process{settings: s, cmd: exec.Command(daemonBinary, "--settings", file), done: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(logDir(f.t), string(s.Host)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	p.cmd.Stderr = log
	require.NoError(f.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p
}

// logDir keeps the logs of the daemons where PROOF_LOGS names a folder.
func logDir(t *testing.T) string {
	base := os.Getenv("PROOF_LOGS")
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, t.Name())
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// replace starts a new daemon with the settings of one that has ended.
func (f *fleet) replace(i int) {
	f.hosts[i] = f.start(f.hosts[i].settings)
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	require.NoError(f.t, f.WaitReady(ctx))
	f.awaitOwners(ctx)
}

// awaitOwners waits until a request needs no second attempt, which tells that
// every shard on its way has an owner.
func (f *fleet) awaitOwners(ctx context.Context) {
	f.t.Helper()
	for n := 0; ; n++ {
		a, err := newCaller(f).Do(ctx, answerRequest(fmt.Sprintf("warm up %d", n)), nil)
		require.NoError(f.t, ctx.Err())
		if err == nil && attempts(a) == len(a.Stages) {
			return
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the daemon as a lost host would.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate shuts the daemon down gracefully and waits for its end.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

func (f *fleet) end() {
	for _, p := range f.hosts {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	f.Stop()
}

// listed counts the hosts that host i names in its directory.
func (f *fleet) listed(i int) int {
	var body struct{ Hosts []struct{ Host string } }
	if f.call(http.MethodGet, i, "/v1/directory", "", nil, &body) != nil {
		return 0
	}
	return len(body.Hosts)
}

// call calls the API of host i with a key and reads the answer into v.
func (f *fleet) call(method string, i int, path, key string, body, v any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, f.Settings()[i].CallerURL+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return f.do(req, v)
}

func (f *fleet) do(req *http.Request, v any) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		var body map[string]any
		_ = json.NewDecoder(resp.Body).Decode(&body)
		return fmt.Errorf("status %d: %v", resp.StatusCode, body)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
