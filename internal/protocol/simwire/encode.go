package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"aspenshed"
)

// AppendReply appends one reply line, with its newline, to buf.
func AppendReply(buf []byte, actions []InstanceAction, faults []Fault) []byte {
	buf = append(buf, `{"do":[`...)
	first := true
	open := func(op string, driver int64) {
		if !first {
			buf = append(buf, ',')
		}
		first = false
		buf = append(buf, `{"op":"`...)
		buf = append(buf, op...)
		buf = append(buf, `","driver":`...)
		buf = strconv.AppendInt(buf, driver, 10)
	}
	text := func(key, v string) {
		quoted, _ := json.Marshal(v) // a string always marshals
		buf = append(buf, `,"`...)
		buf = append(buf, key...)
		buf = append(buf, `":`...)
		buf = append(buf, quoted...)
	}
	number := func(key string, v int64) {
		buf = append(buf, `,"`...)
		buf = append(buf, key...)
		buf = append(buf, `":`...)
		buf = strconv.AppendInt(buf, v, 10)
	}
	for _, d := range actions {
		switch a := d.Action.(type) {
		case aspenshed.Send:
			open("attempt", d.Instance)
			text("ticket", a.ID)
			if a.Deadline != 0 {
				number("abandonAtNs", int64(a.Deadline))
			}
			text("member", a.Member)
		case aspenshed.Refuse:
			open("bounce", d.Instance)
			text("ticket", a.ID)
			if a.RetryAfter > 0 {
				number("retryInNs", int64(a.RetryAfter))
			}
		case aspenshed.Fail:
			open("finishError", d.Instance)
			text("ticket", a.ID)
		case aspenshed.Cancel:
			open("undoSend", d.Instance)
			text("ticket", a.ID)
			number("seqNo", int64(a.Attempt))
		case aspenshed.SetTimer:
			open("arm", d.Instance)
			number("waitNs", int64(a.After))
			text("label", a.Label)
		case aspenshed.Probe:
			open("probe", d.Instance)
			text("member", a.Member)
		case aspenshed.CloseIdleConnections:
			open("closeIdle", d.Instance)
			text("member", a.Member)
		case aspenshed.Watch:
			open("subscribe", d.Instance)
			buf = append(buf, `,"on":true`...)
		case aspenshed.LogMessage:
			open("trace", d.Instance)
			text("msg", a.Text)
		default:
			open("fault", d.Instance)
			text("msg", fmt.Sprintf("action %T has no form on the wire", a))
		}
		buf = append(buf, '}')
	}
	for _, f := range faults {
		open("fault", f.Instance)
		text("msg", f.Text)
		buf = append(buf, '}')
	}
	return append(buf, "]}\n"...)
}
