package quotasync

import "time"

// Ready reports whether the instance may spend from its slots: the rows have
// been read and the session has held since.
func (s *Sync) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate(time.Now())
	return s.spending
}
