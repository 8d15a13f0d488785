package store

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
)

const childDir = "ASPENSHED_STORE_CHILD"

// TestMain runs the test binary as an instance in a child process that a test kills.
func TestMain(m *testing.M) {
	if dir := os.Getenv(childDir); dir != "" {
		go func() { // the child must not outlive the test
			_, _ = io.Copy(io.Discard, os.Stdin)
			os.Exit(1)
		}()
		writeUntilKilled(dir)
	}
	os.Exit(m.Run())
}

func singleInstanceConfig(dir string) Config {
	_, t := raft.NewInmemTransport("r-a")
	return Config{Cluster: "t", ID: "a", Address: "r-a", Service: "s-a", Peers: []Peer{{"a", "r-a", "s-a"}}, DataDir: dir, ShortTimeouts: true,
		Transport: t, Caller: testCaller{&cluster{}, "a"}}
}

// writeUntilKilled prints each number once it is stored. Values are large, so that snapshots are being written most of
// the time.
func writeUntilKilled(dir string) {
	s, err := Open(singleInstanceConfig(dir))
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	from := 0
	for s.ReadLatest(time.Second, func(c *catalog.Catalog) { from, _ = strconv.Atoi(string(c.Pair("last").GetValue())) }) != nil {
		time.Sleep(time.Millisecond)
	}
	fill := strings.Repeat("x", 30<<10)
	for i := from + 1; ; i++ {
		_, err := s.Submit(setCommand(fmt.Sprint("k", i%50), fill), waitTimeout)
		if err == nil {
			_, err = s.Submit(setCommand("last", fmt.Sprint(i)), waitTimeout)
		}
		if err == nil {
			fmt.Println(i)
		}
	}
}

// An instance that is killed at random times, during snapshots and batches, has no corrupt files and has everything
// that it acknowledged.
func TestKilledDuringSnapshot(t *testing.T) {
	const seed = 3
	rng := rand.New(rand.NewPCG(seed, 0))
	dir := t.TempDir()
	last, half := 0, 0
	for round := range 12 {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), childDir+"="+dir)
		out, err := child.StdoutPipe()
		if err == nil {
			_, err = child.StdinPipe()
		}
		if err == nil {
			err = child.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewScanner(out)
		for n := 60 + rng.IntN(80); n > 0 && in.Scan(); n-- {
			if last, err = strconv.Atoi(in.Text()); err != nil {
				t.Errorf("seed %d, round %d: %s", seed, round, in.Text())
			}
		}
		_ = child.Process.Kill()
		_ = child.Wait()
		if found, err := os.ReadDir(dir + "/snapshots"); err == nil {
			for _, f := range found {
				if strings.HasSuffix(f.Name(), ".tmp") {
					half++
				}
			}
		}
		s, err := Open(singleInstanceConfig(dir))
		if err != nil {
			t.Fatalf("seed %d, round %d: %v", seed, round, err)
		}
		got := -1
		for end := time.Now().Add(waitTimeout); got < 0 && time.Now().Before(end); {
			_ = s.ReadLatest(time.Second, func(c *catalog.Catalog) { got, _ = strconv.Atoi(string(c.Pair("last").GetValue())) })
		}
		if got < last {
			t.Errorf("seed %d, round %d: last stored number %d, acknowledged %d", seed, round, got, last)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
	t.Logf("%d writes, %d incomplete snapshots found", last, half)
}
