package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

type object = map[string]any

// discovery is the platform's list of databases: it answers whole lists, and watches with an empty line every 2 s.
type discovery struct {
	mu         sync.Mutex
	generation int
	instances  []object
	listener   net.Listener
}

func startDiscovery(dbs []*database) (*discovery, error) {
	d := &discovery{generation: 1}
	for _, db := range dbs {
		recovery := "on"
		if db.isPrimary() {
			recovery = "off"
		}
		d.instances = append(d.instances, object{"instanceId": db.name, "hostPort": db.address(), "zone": "east",
			"machineType": "std-4core", "cell": db.group, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0, "recovery": recovery})
	}
	var err error
	if d.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/servers", d.handle)
	go func() { _ = http.Serve(d.listener, mux) }()
	return d, nil
}

func (d *discovery) whole() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return object{"generation": d.generation, "reset": true, "instances": d.instances}
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	list := d.whole()
	if r.URL.Query().Get("stream") == "" {
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	flush := w.(http.Flusher).Flush
	if index, _ := strconv.Atoi(r.URL.Query().Get("index")); index != list["generation"] {
		_ = json.NewEncoder(w).Encode(list)
	} else {
		fmt.Fprintln(w)
	}
	for {
		flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
		}
	}
}

// writeNodeConfig writes the configuration of one gateway of the platform.
func writeNodeConfig(dir, listen string, d *discovery, memoryMB, sockets int) (string, error) {
	ms := func(n int) int64 { return int64(n) * int64(time.Millisecond) }
	class := func(name, effect string, aim, giveUp int, worth, late float64) object {
		return object{"name": name, "effect": effect, "group": "all", "aimNs": ms(aim), "giveUpNs": ms(giveUp), "worth": worth,
			"lateWorth": late, "repeatWindowNs": ms(5000), "streamed": false}
	}
	settings := object{"balancers": 3, "rank": 0, "zone": 0, "failureDomains": []string{"east"}, "kinds": []string{"std-4core"},
		"classes": []object{class("point-read", "free", 400, 1000, 1, 0.2), class("report", "free", 750, 2000, 2, 0),
			class("order", "single_shot", 750, 5000, 6, 0.5)},
		"discovery": "on_request", "quantumNs": ms(5), "weightSource": "none", "worthBy": "request", "kindOfService": "replicas",
		"familyInfo": object{"baseTimeNs": 0, "checks": "none", "lagAllowedNs": []int64{ms(300), 0, 0}, "listRole": "late",
			"readLevel": []string{"bounded", "any", "write"}, "reportX0": "position in seconds after zero", "reportX1": "1 from a primary",
			"synchronous": true, "tellsPosition": false, "tokenMode": "carried", "waitNs": 0},
		"limits": object{"cancelling": true, "connectTimeoutNs": ms(250), "idleCloseNs": ms(15000), "maxRetryAfterNs": ms(1000), "maxStreams": 1,
			"mayTell": false, "mostHeld": 22937, "parallelTries": false, "probes": true, "retryAfter": false, "sendCap": 10},
		"prices": object{"crossZone": 0.037, "lateFail": 0.063, "probe": 0.021, "waste": 0.03},
		"rules": object{"answerSlackNs": ms(20), "askWithinNs": ms(10000), "drainGraceNs": ms(2000), "coldNs": ms(16000), "startCapacity": 0.15,
			"fallMultiple": 2.5, "fallNs": ms(1500)},
		"telemetry": object{"columns": []string{"x0", "x1", "backlog"}, "source": "probe"}}
	b, err := json.Marshal(object{"name": "n1", "listen": listen, "discovery": d.listener.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "known": d.whole(), "settings": settings})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, b, 0o600)
}

// memoryOf returns the anonymous memory of a process in KB, and that of its files.
func memoryOf(pid int) (anon, file int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "RssAnon:":
			anon = n
		case "RssFile:":
			file = n
		}
	}
	return anon, file
}

// startPlatformGateway starts three databases, discovery and one gateway of the platform.
func startPlatformGateway(e *env, memoryMB, sockets int) (dbs []*database, gateway *process, listen string, err error) {
	for i := range 3 {
		d, err := startDatabase(e.rec, fmt.Sprintf("s-%d", i+1), "127.0.0.1:0", i == 0)
		if err != nil {
			return nil, nil, "", err
		}
		d.work = work
		dbs = append(dbs, d)
	}
	disc, err := startDiscovery(dbs)
	if err != nil {
		return nil, nil, "", err
	}
	listen = freeAddress()
	path, err := writeNodeConfig(e.dir, listen, disc, memoryMB, sockets)
	if err != nil {
		return nil, nil, "", err
	}
	gateway, err = start(e.dir, "gateway", []string{"NODE_CONFIG=" + path, "NODE_NAME=n1", "NODE_LISTEN=" + listen, "NODE_DISCOVERY=" + disc.listener.Addr().String()})
	if err == nil && !waitFor(10*time.Second, func() bool { return pgReady(listen) }) {
		err = fmt.Errorf("the gateway is not ready")
	}
	return dbs, gateway, listen, err
}
