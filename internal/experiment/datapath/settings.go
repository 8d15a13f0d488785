package datapath

import (
	"errors"

	"aspenshed"

	"aspenshed/internal/config"
	"aspenshed/internal/experiment/standin"
)

// serviceConfig is a front's settings as an operator writes them. The classes are those of the demonstration. Beyond three
// quarters of clients the front closes idle ones, so that 6,700 need 9,000 at least.
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

// classes of service, in its order.
const (
	boundedRead = iota
	anyRead
	write
)

var classNames = []string{boundedRead: "point-read", anyRead: "report", write: "order"}

// classMix is the order in which clients ask: 40% bounded reads, 40% reads of any age, 20% writes, as in experiment cut.
var classMix = []int{write, write, anyRead, anyRead, anyRead, anyRead, boundedRead, boundedRead, boundedRead, boundedRead}

const statementTimeout = aspenshed.Nanos(900e6) // of a client for one statement

var errClassCount = errors.New("datapath: the settings make no front")

// settings are those that the daemon makes of service; routers is how many gateways it is told there are. The daemon
// itself always says 1.
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

// limits of every database here.
func limits() standin.Limits {
	l := standin.DefaultLimits()
	l.Queue = 4000
	return l
}
