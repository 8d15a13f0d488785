package session

import (
	"errors"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/netio"
)

// ClassifyLoss returns how a connection to a member failed. sent is whether the last byte of the statement may have been
// sent, err the error with which the connection ended.
func ClassifyLoss(sent bool, err error) request.ConnectionLoss {
	switch {
	case sent:
		return request.LostAfterSend
	case errors.Is(err, netio.ErrRefused):
		return request.ConnectFailed
	case errors.Is(err, netio.ErrNoResources):
		return request.NoResources
	case errors.Is(err, netio.ErrNoRoute):
		return request.NoRoute
	}
	return request.LostBeforeSend
}
