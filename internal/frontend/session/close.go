package session

import "aspenshed/internal/dataplane/request"

// reportClose tells the manager's observer that the session ends with that many commands without a response.
func (s *Session) reportClose(reason request.CloseReason) {
	if s.manager.OnClose != nil {
		s.manager.OnClose(reason, len(s.slots))
	}
}
