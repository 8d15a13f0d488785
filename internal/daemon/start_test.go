package daemon

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenshed/internal/config"
)

// Guards against a panic in a failed start: what has been started is stopped, and the error is returned.
func TestFailedStartReturnsItsError(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for name, change := range map[string]func(string) string{
		"the port of a front is taken": func(text string) string {
			return strings.Replace(text, "listen: 127.0.0.1:0", "listen: "+taken.Addr().String(), 1)
		},
		"the directory of the admin socket is missing": func(text string) string { return text + "admin: {socket: absent/admin.sock}\n" },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "members.csv"), []byte("id,address,group\na,127.0.0.1:1,0\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			deploy, err := config.ParseDeploy(filepath.Join(dir, "aspenshed.yaml"), []byte(change(`
postgres:
  listen: 127.0.0.1:0
  inventory: members.csv
  clients: 10
  links: 10
  classes: [{name: report, read: any, aim: 100ms, give_up: 1s, worth: 1, effect: safe}]
  attempts: 2
  connect_timeout: 100ms
  client_idle: 1m
`)))
			if err != nil {
				t.Fatal(err)
			}
			d, err := New(Config{Deploy: deploy})
			if err == nil || d != nil {
				t.Fatalf("started: %v", err)
			}
		})
	}
}
