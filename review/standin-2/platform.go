package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

type object = map[string]any

// discovery is the platform's list of databases, at an address on loopback. Watches stay open; nothing changes.
func startDiscovery(dbs []*database) (address string, list object, err error) {
	var entries []object
	for _, d := range dbs {
		role := "on"
		if d.primary {
			role = "off"
		}
		entries = append(entries, object{"instanceId": d.name, "hostPort": d.address, "zone": "north", "machineType": "std", "cell": 1,
			"lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0, "recovery": role})
	}
	list = object{"generation": 1, "reset": true, "instances": entries}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", nil, err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_ = json.NewEncoder(w).Encode(list)
		for q.URL.Query().Get("stream") == "1" {
			w.(http.Flusher).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
			}
		}
	}))
	return l.Addr().String(), list, nil
}

// settings are those of a small deployment: one gateway, a class that any member serves, a long one, and writes.
func settings() object {
	ms := int64(time.Millisecond)
	class := func(name, effect string, aim, giveUp int64) object {
		return object{"name": name, "effect": effect, "group": "all", "aimNs": aim * ms, "giveUpNs": giveUp * ms, "worth": 2, "lateWorth": 0.5,
			"repeatWindowNs": 5000 * ms, "streamed": false}
	}
	return object{"balancers": 1, "rank": 0, "zone": 0, "failureDomains": []string{"north"}, "discovery": "on_request", "quantumNs": 5 * ms,
		"classes":      []object{class("report", "free", 750, 2000), class("summary", "free", 5000, 10000), class("order", "single_shot", 750, 5000)},
		"weightSource": "none", "worthBy": "request",
		"familyInfo": object{"baseTimeNs": 0, "checks": "none", "lagAllowedNs": []int{0, 0, 0}, "listRole": "late", "readLevel": []string{"any", "any", "write"},
			"reportX0": "position in seconds after zero", "reportX1": "1 from a primary", "tellsPosition": false, "tokenMode": "carried"},
		"limits": object{"cancelling": true, "connectTimeoutNs": 250 * ms, "idleCloseNs": 15000 * ms, "maxRetryAfterNs": 1000 * ms, "maxStreams": 1,
			"mayTell": false, "mostHeld": 20000, "parallelTries": false, "probes": true, "retryAfter": false, "sendCap": 10},
		"prices": object{"crossZone": 0.037, "lateFail": 0.063, "probe": 0.021, "waste": 0.03},
		"rules": object{"answerSlackNs": 20 * ms, "askWithinNs": 10000 * ms, "drainGraceNs": 2000 * ms, "coldNs": 16000 * ms, "startCapacity": 0.15,
			"fallMultiple": 2.5, "fallNs": 1500 * ms},
		"telemetry": object{"columns": []string{"x0", "x1", "backlog"}, "source": "probe"}}
}

// startGateway starts the platform's gateway and waits until it answers an empty query.
func (r *run) startGateway(dbs []*database, memoryMB, sockets int, flags string) (p *process, listen string, err error) {
	address, list, err := startDiscovery(dbs)
	if err != nil {
		return nil, "", err
	}
	listen = freeAddress()
	b, err := json.Marshal(object{"name": "n0", "listen": listen, "discovery": address, "seed": "5eed",
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "known": list, "settings": settings()})
	if err != nil {
		return nil, "", err
	}
	path, err := r.write("config.json", string(b))
	if err != nil {
		return nil, "", err
	}
	p, err = r.start("gateway", "exec bin/aspenshed"+flags, "NODE_NAME=n0", "NODE_LISTEN="+listen, "NODE_DISCOVERY="+address, "NODE_CONFIG="+path)
	if err != nil {
		return nil, "", err
	}
	if !until(10*time.Second, func() bool {
		c, err := dialPG(listen)
		if err != nil {
			return false
		}
		defer c.conn.Close()
		_, code, err := c.ask("", time.Second)
		return err == nil && code == ""
	}) {
		return nil, "", fmt.Errorf("the gateway is not ready")
	}
	return p, listen, nil
}
