package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"aspenshed/internal/protocol/pgwire"
)

const (
	reconnectDelay  = 50 * time.Millisecond
	largeQuery      = 140 << 10
	manyFields      = 20000
	withheld        = 10 // bytes at the end of a query
	slowWriterPause = 1500 * time.Millisecond
	chunkSize       = 32 << 10              // that a flooding client writes at once
	crowdPause      = 20 * time.Millisecond // between its writes, as one of many: the databases run on the same machine
	floodTimeout    = 300 * time.Millisecond
	ordersAtOnce    = 200
	repeatedOrders  = 20
	leaveAfterSend  = 30 * time.Millisecond
	repeatAfter     = 300 * time.Millisecond
	badClientLimit  = 3 * time.Second // in which a client that stopped in the middle gets an error or its end
	orderTimeout    = 2 * time.Second
	largeValue      = 64 << 10 // bytes, the largest that the protocol allows
	largeKey        = "large-"
	valuesAtOnce    = 50
	slowReadPause   = 100 * time.Millisecond
	troubledGroup   = 0 // whose databases get the sound requests of clients that make trouble
)

// troubleClient is a client that makes trouble.
type troubleClient struct {
	run     *run
	gateway *gateway
	index   int
	end     time.Time
	crowd   bool // it is one of many
	sent    int
	conn    net.Conn
}

// troubleClients are what the clients of each kind of trouble do on one connection.
var troubleClients = [troubleKinds]func(*troubleClient){
	SlowWriters:  (*troubleClient).writeSlowly,
	HalfMessages: (*troubleClient).stopHalfWay,
	ManyFields:   (*troubleClient).sendManyFields,
	AskForTLS:    func(c *troubleClient) { c.flood(c.tlsRequest) },
	WithoutID:    func(c *troubleClient) { c.startThenFlood(c.queryWithoutID) },
	NewClasses:   func(c *troubleClient) { c.startThenFlood(c.queryOfNewClass) },
	EmptyQueries: func(c *troubleClient) { c.startThenFlood(func() []byte { return pgwire.QueryMessage("") }) },
	FreshKeys:    func(c *troubleClient) { c.startThenFlood(c.soundRead) },
	LeaveUnread:  func(c *troubleClient) { c.orderAndLeave(false) },
	ResetUnread:  func(c *troubleClient) { c.orderAndLeave(true) },
	LargeValues:  (*troubleClient).readLargeValues,
	SlowReaders:  (*troubleClient).readSlowly,
	FloodedByError: func(c *troubleClient) {
		c.startThenFlood(func() []byte { return pgwire.AppendMessage(nil, 'P', "noise") })
	},
}

func (c *troubleClient) connect() bool {
	conn, err := net.DialTimeout("tcp", c.gateway.address, dialTimeout)
	c.conn = conn
	return err == nil
}

func (c *troubleClient) write(b []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(floodTimeout))
	_, err := c.conn.Write(b)
	return err == nil
}

func (c *troubleClient) start() bool { return c.write(pgwire.StartupMessage("web", "orders")) }

// pause waits, but not longer than the trouble lasts.
func (c *troubleClient) pause(d time.Duration) { time.Sleep(min(d, time.Until(c.end))) }

// rest leaves processors to the databases between what one of many clients does.
func (c *troubleClient) rest() {
	if c.crowd {
		time.Sleep(crowdPause)
	}
}

func (c *troubleClient) nextID() string {
	c.sent++
	return fmt.Sprintf("%x-%d-%d-%d", c.run.Seed, c.gateway.index, c.index, c.sent) + fmt.Sprint("-", c.run.intN(1e9))
}

func (c *troubleClient) writeSlowly() {
	sql := fmt.Sprintf("SELECT '%s' /* id=%s,c=report,d=2000,cluster=0 */", strings.Repeat("9f", largeQuery/2), c.nextID())
	query := pgwire.QueryMessage(sql)
	if c.start() && c.write(query[:len(query)-withheld]) {
		c.pause(slowWriterPause)
	}
}

// stopHalfWay stops in the middle of a query and waits for an error or the end of the connection.
func (c *troubleClient) stopHalfWay() {
	query := pgwire.QueryMessage(strings.Repeat("SELECT 1 ", 1+c.run.intN(2000)))
	if !c.start() || !c.write(query[:len(query)/2]) {
		return
	}
	stoppedAt := time.Now()
	_ = c.conn.SetReadDeadline(stoppedAt.Add(2 * badClientLimit))
	_, err := io.Copy(io.Discard, c.conn)
	_, process := c.gateway.isOpen()
	c.run.records.addHalfMessage(halfMessage{gateway: c.gateway.index, process: process, stoppedAt: stoppedAt, endedAt: time.Now(), err: err})
}

// queryOfFields is a large query whose comment consists of short fields.
var queryOfFields = sync.OnceValue(func() []byte {
	var fields strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&fields, ",f%x=", i)
	}
	return pgwire.QueryMessage(fmt.Sprintf("SELECT 1 /* id=1,c=report,d=2000,cluster=0%s */", fields.String()))
})

func (c *troubleClient) sendManyFields() {
	if !c.start() {
		return
	}
	for time.Now().Before(c.end) {
		if !c.write(queryOfFields()) || !c.readSome(2*time.Second) {
			return
		}
	}
}

// readSome waits for some bytes of an answer.
func (c *troubleClient) readSome(limit time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	_, err := c.conn.Read(make([]byte, chunkSize))
	return err == nil
}

func (c *troubleClient) startThenFlood(command func() []byte) {
	if c.start() {
		c.flood(command)
	}
}

// flood sends commands as fast as it can, and reads all answers.
func (c *troubleClient) flood(command func() []byte) {
	conn := c.conn // the client may have another by the time that it is read
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	chunk := make([]byte, 0, 2*chunkSize)
	for time.Now().Before(c.end) {
		for chunk = chunk[:0]; len(chunk) < chunkSize; {
			chunk = append(chunk, command()...)
		}
		_ = c.conn.SetWriteDeadline(c.end)
		if _, err := c.conn.Write(chunk); err != nil {
			return
		}
		c.rest()
	}
}

func (c *troubleClient) tlsRequest() []byte { return []byte("\x00\x00\x00\x08\x04\xd2\x16\x2f") }

func (c *troubleClient) queryWithoutID() []byte { return pgwire.QueryMessage("SELECT 1") }

func (c *troubleClient) queryOfNewClass() []byte {
	c.sent++
	return pgwire.QueryMessage(fmt.Sprintf("SELECT 1 /* id=%x,c=no-%d-%x,d=1000,cluster=0 */", c.sent, c.index, c.sent))
}

func (c *troubleClient) soundRead() []byte {
	return pgwire.QueryMessage(statementText(c.nextID(), classIndex("report"), troubledGroup, time.Second))
}

// orderAndLeave sends many orders at once, leaves, and sends some of them again.
func (c *troubleClient) orderAndLeave(reset bool) {
	if !c.start() || !c.readSome(time.Second) {
		return
	}
	_, process := c.gateway.isOpen()
	var queries []byte
	var orders []*requestRecord
	sentAt := time.Now()
	for range ordersAtOnce {
		x := &requestRecord{id: c.nextID(), class: classIndex("order"), group: troubledGroup, gateway: c.gateway.index, process: process, sentAt: sentAt,
			deadline: sentAt.Add(orderTimeout), answer: left}
		orders = append(orders, x)
		queries = append(queries, pgwire.QueryMessage(statementText(x.id, x.class, x.group, orderTimeout))...)
	}
	c.write(queries)
	time.Sleep(leaveAfterSend)
	if tcp, ok := c.conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	c.conn.Close()
	leftAt := time.Now()
	c.pause(repeatAfter)
	again := c.sendAgain(orders[:repeatedOrders])
	for _, x := range orders {
		x.endedAt = leftAt
		c.run.records.addRequest(x)
	}
	if again != nil {
		c.run.records.addRepeat(again)
	}
}

// sendAgain sends orders again on a new connection and counts the answers; nil if that was not possible.
func (c *troubleClient) sendAgain(orders []*requestRecord) *repeatedSend {
	client, err := dialClient(c.gateway.address)
	if err != nil {
		return nil
	}
	defer client.conn.Close()
	_, process := c.gateway.isOpen()
	again := &repeatedSend{gateway: c.gateway.index, process: process, sentAt: time.Now(), orders: len(orders)}
	var queries []byte
	for _, x := range orders {
		x.repeatedAt = again.sentAt
		queries = append(queries, pgwire.QueryMessage(statementText(x.id, x.class, x.group, orderTimeout))...)
	}
	if _, err := client.conn.Write(queries); err != nil {
		return nil
	}
	again.answered, again.err = client.awaitAll(len(orders), again.sentAt.Add(orderTimeout+answerMargin))
	return again
}

// awaitAll reads until a number of responses are complete, and returns how many were.
func (c *clientConn) awaitAll(responses int, until time.Time) (complete int, err error) {
	_ = c.conn.SetReadDeadline(until)
	b := make([]byte, chunkSize)
	for complete < responses {
		n, err := c.conn.Read(b)
		if err != nil {
			return complete, err
		}
		if err := c.reader.Feed(b[:n], func(m pgwire.Message) error {
			if m.Type == 'Z' {
				complete++
			}
			return nil
		}); err != nil {
			return complete, err
		}
	}
	return complete, nil
}

func (c *troubleClient) largeRead() []byte {
	return pgwire.QueryMessage(fmt.Sprintf("SELECT payload FROM entries WHERE ref = '%s%d' /* id=%s,c=report,d=2000,cluster=%d */", largeKey, c.index,
		c.nextID(), troubledGroup))
}

// readLargeValues reads one large value after the other.
func (c *troubleClient) readLargeValues() {
	client, err := dialClient(c.gateway.address)
	if err != nil {
		return
	}
	defer client.conn.Close()
	for time.Now().Before(c.end) {
		if _, err := client.conn.Write(c.largeRead()); err != nil {
			return
		}
		if _, err := client.awaitAll(1, time.Now().Add(orderTimeout+answerMargin)); err != nil {
			return
		}
	}
}

// readSlowly asks for many large values at once; every second client reads none of them.
func (c *troubleClient) readSlowly() {
	if !c.start() {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(chunkSize)
	}
	var reads []byte
	for range valuesAtOnce {
		reads = append(reads, c.largeRead()...)
	}
	if !c.write(reads) {
		return
	}
	for time.Now().Before(c.end) {
		if c.pause(slowReadPause); c.index%2 == 0 && !c.readSome(orderTimeout) {
			return
		}
	}
}
