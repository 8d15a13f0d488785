package daemon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"aspenshed/internal/protocol/pgwire"
)

// QueryUntilServed repeats a point read until it is served or the timeout has expired, and returns the row.
func QueryUntilServed(address string, id string, timeout time.Duration) (row string, err error) {
	for end := time.Now().Add(timeout); ; {
		row, err = QueryPostgres(address, fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'entry-1' "+
			"/* id=%s-%x,c=point-read,d=900,cluster=1 */", id, rand.Uint64()), time.Until(end))
		if err == nil || time.Now().After(end) {
			return row, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// QueryPostgres runs one statement on a new connection, over PostgreSQL's protocol.
func QueryPostgres(address, sql string, timeout time.Duration) (string, error) {
	n, err := clientNet()
	if err != nil {
		return "", err
	}
	q := &pgQuery{in: pgwire.Reader{MaxSize: 1 << 20}, connected: make(chan struct{}), finished: make(chan error, 2)}
	c, err := n.Dial(address, timeout, false, q)
	if err != nil {
		return "", err
	}
	defer c.Close()
	select {
	case <-q.connected:
		if err := c.Write(append(pgwire.StartupMessage("web", "orders"), pgwire.QueryMessage(sql)...)); err != nil {
			return "", err
		}
	case err := <-q.finished:
		return "", err
	}
	select {
	case err = <-q.finished:
		return q.row, err
	case <-time.After(timeout):
		return "", errors.New("timed out waiting for the response")
	}
}

type pgQuery struct {
	connected     chan struct{}
	in            pgwire.Reader
	row           string
	err           error
	readyMessages int
	finished      chan error
}

func (q *pgQuery) Connected() { close(q.connected) }

func (q *pgQuery) Closed(err error) { q.finished <- fmt.Errorf("connection closed: %w", err) }

func (q *pgQuery) Data(b []byte) {
	if err := q.in.Feed(b, q.message); err != nil {
		q.finished <- err
	}
}

func (q *pgQuery) message(m pgwire.Message) error {
	switch m.Type {
	case 'D':
		q.row, _ = pgwire.ParseSingleColumn(m.Body)
	case 'E':
		e, _ := pgwire.ParseError(m.Body)
		q.err = fmt.Errorf("%s: %s", e.Code, e.Message)
	case 'Z':
		if q.readyMessages++; q.readyMessages == 2 { // the first one ends the startup
			q.finished <- q.err
		}
	}
	return nil
}
