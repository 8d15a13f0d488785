package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/daemon"
)

// TestMain lets the test binary run as bin/aspenshed, so that it can be killed as a process.
func TestMain(m *testing.M) {
	if os.Getenv("ASPENSHED_TEST_RUN") != "" {
		go func() { // exit together with the test
			_, _ = io.Copy(io.Discard, os.Stdin)
			os.Exit(1)
		}()
		os.Args = append(os.Args[:1], strings.Fields(os.Getenv("ASPENSHED_TEST_RUN"))...)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is one instance of the daemon, run as a process.
type process struct {
	t      *testing.T
	dir    string
	socket string
	cmd    *exec.Cmd
}

func (p *process) start() {
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "ASPENSHED_TEST_RUN=serve --log-level error --deploy "+filepath.Join(p.dir, "aspenshed.yaml"))
	p.cmd.Stderr = os.Stderr
	_, err := p.cmd.StdinPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (p *process) ask(q daemon.AdminRequest, into any) error {
	b, err := daemon.CallAdmin(p.socket, q)
	if err == nil && into != nil {
		err = json.Unmarshal(b, into)
	}
	return err
}

// startThree prepares three instances; it does not start their processes.
func startThree(t *testing.T) (out []*process) {
	front, err := os.ReadFile("../../deploy/aspenshed.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text, _, _ := strings.Cut(string(front), "postgres:")
	text = strings.Replace(text, `listen: ""`, "listen: 127.0.0.1:0", 1)
	var addresses []string
	for range 6 { // ephemeral ports, released for the processes
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	peers := ""
	for i := range 3 {
		peers += fmt.Sprintf("    - {id: i%d, address: %s, service: %s}\n", i, addresses[2*i], addresses[2*i+1])
	}
	for i := range 3 {
		p := &process{t: t, dir: t.TempDir()}
		p.socket = filepath.Join(p.dir, "s")
		store := fmt.Sprintf("store:\n  cluster: t\n  id: i%d\n  address: %s\n  service: %s\n  data_dir: data\n  peers:\n%sadmin: {socket: s}\n",
			i, addresses[2*i], addresses[2*i+1], peers)
		for name, content := range map[string]string{"aspenshed.yaml": text + store, "accounts.yaml": "web: pass\n", "inventory.csv": members} {
			if err := os.WriteFile(filepath.Join(p.dir, name), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		out = append(out, p)
	}
	return out
}

// Instances are killed repeatedly as processes, in the middle of writes and snapshots: each restarts from its disk, and
// all acknowledged writes are present.
func TestKilledProcessesKeepAcknowledgedWrites(t *testing.T) {
	ps := startThree(t)
	for _, p := range ps {
		p.start()
		t.Cleanup(p.kill)
	}
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 0))
	put := func(k int) {
		for end := time.Now().Add(testTimeout * 4); ; {
			if ps[rng.IntN(3)].ask(daemon.AdminRequest{Command: "put", Key: fmt.Sprint("k", k%500), Value: fmt.Sprint(k)}, nil) == nil {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("seed %d: key %d was never accepted", seed, k)
			}
		}
	}
	k := 0
	for range 5 {
		for range 40 {
			put(k)
			k++
		}
		victim := ps[rng.IntN(3)]
		done, after := make(chan struct{}), rng.IntN(20)
		for i := range 40 { // the kill happens during these
			if i == after {
				go func() {
					defer close(done)
					victim.kill()
				}()
			}
			put(k)
			k++
		}
		<-done
		victim.start()
	}
	digests := map[string]bool{}
	for end := time.Now().Add(testTimeout * 3); len(digests) != 1; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("seed %d: catalogs differ: %v", seed, digests)
		}
		digests = map[string]bool{}
		for i, p := range ps {
			var s store.Status
			if err := p.ask(daemon.AdminRequest{Command: "status"}, &s); err != nil || s.Applied != s.Commit || s.Commit == 0 {
				s.Digest = fmt.Sprint("none of ", i, err)
			}
			digests[s.Digest] = true
		}
	}
	for i := range k {
		var got daemon.Pair
		if err := ps[i%3].ask(daemon.AdminRequest{Command: "get", Key: fmt.Sprint("k", i%500)}, &got); err != nil || got.Value != fmt.Sprint(i) {
			t.Fatalf("seed %d: k%d is %+v, %v", seed, i, got, err)
		}
	}
	// The command line, with output as a table and as JSON; mistakes get clear errors.
	saved := filepath.Join(t.TempDir(), "saved")
	for _, c := range []struct {
		line string
		want string // in the output, or in the error if it begins with !
	}{
		{"store status", "following"}, {"store status -o json", `"digest": "`}, {"store members", "in_service"},
		{"store put colour blue", "version 1"}, {"store get colour --latest -o json", `"value": "blue"`},
		{"store put colour red --base 0", "!version 1, not 0"}, {"store drain a", "draining"}, {"store members -o json", `"state": "draining"`},
		{"store restart a", "started now"}, {"store members", "cold"}, {"store snapshot save " + saved, "saved"},
		{"store leave nobody", "!no instance"}, {"store drain nobody", "!no member"}, {"store dance", "!unknown command"},
		{"store status --output tree", "!not one of table, json"}, {"check", "good"}, {"check --log-level loud", "!--log-level"},
		{"metrics", "aspenshed_requests_total{front=\"mysql\""}, {"version", "development"}, {"completion bash", "complete"},
	} {
		var out bytes.Buffer
		root := newRoot()
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append(strings.Fields(c.line), "--socket", ps[0].socket, "--deploy", filepath.Join(ps[0].dir, "aspenshed.yaml")))
		err := root.Execute()
		want, fails := strings.CutPrefix(c.want, "!")
		if (err != nil) != fails || !strings.Contains(out.String()+fmt.Sprint(err), want) {
			t.Errorf("%s: %v\n%s", c.line, err, out.String())
		}
	}
	if _, err := os.Stat(saved); err != nil {
		t.Error(err)
	}
}
