package datapath

import (
	"errors"

	"aspenshed"

	"aspenshed/internal/config"
	"aspenshed/internal/experiment/standin"
)

// serviceConfig is the configuration of a front as an operator writes it, with the classes of the demonstration. The
// front closes idle clients above three quarters of the limit clients, so that 6,700 idle clients need a limit of at
// least 9,000.
const serviceConfig = `
postgres:
  listen: 127.0.0.1:0
  inventory: inventory.csv
  clients: 9200
  links: 4000
  classes:
    - {name: point-read, read: bounded, bound: 300ms, aim: 400ms, give_up: 1s, worth: 1, late_worth: 0.2, effect: safe}
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
  attempts: 10
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
`

// Classes of serviceConfig, in its order.
const (
	boundedRead = iota
	anyRead
	write
)

var classNames = []string{boundedRead: "point-read", anyRead: "report", write: "order"}

// classMix is the sequence of classes that clients request: 40% bounded reads, 40% reads of any age, 20% writes, as in
// the experiment cut.
var classMix = []int{write, write, anyRead, anyRead, anyRead, anyRead, boundedRead, boundedRead, boundedRead, boundedRead}

const statementTimeout = aspenshed.Nanos(900e6) // client's time limit of one statement

var errClassCount = errors.New("datapath: the number of configured classes is not that of classNames")

// settings returns the settings that the daemon derives from serviceConfig, with the number of gateways set to routers.
// The daemon itself always sets 1.
func settings(routers int) (aspenshed.Settings, error) {
	d, err := config.ParseDeploy("aspenshed.yaml", []byte(serviceConfig))
	if err != nil {
		return aspenshed.Settings{}, err
	}
	s := d.Postgres.Settings
	if len(s.Classes) != len(classNames) {
		return s, errClassCount
	}
	s.ListHasRoles = true
	s.Routers = routers
	return s, nil
}

// limits returns the limits of every database of this package.
func limits() standin.Limits {
	l := standin.DefaultLimits()
	l.MaxInFlight = 4000
	return l
}
