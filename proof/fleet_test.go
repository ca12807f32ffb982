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

// startTimeout is the time limit for the start of a process on a loaded machine.
const startTimeout = 60 * time.Second

// daemonBinary is the path of the daemon, which TestMain builds with the race
// detector.
var daemonBinary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the daemon, runs the tests and returns the exit code.
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

// fleet is a deployment whose stand-ins run in the test process and whose daemons
// run as separate processes.
type fleet struct {
	*deployment.Local
	t     *testing.T
	hosts []*process
}

// process is the process of one daemon. done is closed once it has exited.
type process struct {
	settings *settings.Settings
	cmd      *exec.Cmd
	done     chan struct{}
}

// newFleet starts the quickstart deployment and waits until it is ready. The edit
// functions may change the settings of the hosts before they start.
func newFleet(t *testing.T, edit ...func([]*settings.Settings)) *fleet {
	t.Helper()
	local, err := deployment.NewLocal(quickstart.Questionnaire)
	require.NoError(t, err)
	for _, e := range edit {
		e(local.Settings())
	}
	f := &fleet{Local: local, t: t}
	t.Cleanup(f.shutDown)
	for _, s := range local.Settings() {
		f.hosts = append(f.hosts, f.start(s))
	}
	f.awaitReady()
	return f
}

// start starts a daemon with the settings s. Its log goes to a file.
func (f *fleet) start(s *settings.Settings) *process {
	f.t.Helper()
	content, err := json.Marshal(s)
	require.NoError(f.t, err)
	file := filepath.Join(f.t.TempDir(), string(s.Host)+".yaml")
	require.NoError(f.t, os.WriteFile(file, content, 0o600))
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

// logDir returns the folder for the logs of the daemons: a temporary one, or one
// that is kept if the environment variable PROOF_LOGS names its parent.
func logDir(t *testing.T) string {
	base := os.Getenv("PROOF_LOGS")
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, t.Name())
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// replace starts a new daemon with the settings of host i, whose daemon has ended.
func (f *fleet) replace(i int) {
	f.hosts[i] = f.start(f.hosts[i].settings)
}

// awaitReady waits until all hosts are ready and one request has succeeded without
// retries.
func (f *fleet) awaitReady() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	require.NoError(f.t, f.WaitReady(ctx))
	f.awaitOwners(ctx)
}

// awaitOwners sends requests until one succeeds with a single attempt for each
// stage, which shows that every shard that this request used has an owner.
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

// kill kills the daemon without a shutdown, like the failure of its host, and
// waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate shuts the daemon down gracefully and waits for its exit.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

// shutDown kills all daemons, also frozen ones, and stops the stand-ins.
func (f *fleet) shutDown() {
	for _, p := range f.hosts {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	f.Stop()
}

// listedHosts returns the number of hosts in the directory of host i, or 0 if the
// host does not answer.
func (f *fleet) listedHosts(i int) int {
	var body struct{ Hosts []struct{ Host string } }
	if f.call(http.MethodGet, i, "/v1/directory", "", nil, &body) != nil {
		return 0
	}
	return len(body.Hosts)
}

// call calls the API of host i with body as JSON and decodes the answer into out.
// An empty key sends no Authorization header. An HTTP status of 400 or above is
// returned as an error.
func (f *fleet) call(method string, i int, path, key string, body, out any) error {
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
	return f.sendHTTP(req, out)
}

// sendHTTP sends an HTTP request and decodes the answer into out.
func (f *fleet) sendHTTP(req *http.Request, out any) error {
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
	return json.NewDecoder(resp.Body).Decode(out)
}
