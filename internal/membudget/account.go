package membudget

import "sync"

// Account is what one connection holds of a budget. All methods may be called from any goroutine.
type Account struct {
	budget     *Budget
	holder     Holder
	guaranteed int64 // bytes that it may hold whatever the budget says

	mu     sync.Mutex
	used   int64
	closed bool
}

// NewAccount returns an Account that may hold the guaranteed bytes, and more if the holder's share allows them.
func (b *Budget) NewAccount(h Holder, guaranteed int64) *Account {
	return &Account{budget: b, holder: h, guaranteed: guaranteed}
}

// Reserve counts n more bytes, if there is memory for them and the account is open; negative n are given back.
func (a *Account) Reserve(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := int64(n)
	switch {
	case a.closed:
		return n <= 0
	case n <= 0 || a.used+size <= a.guaranteed:
		a.budget.Add(a.holder, size)
	case !a.budget.Reserve(a.holder, size):
		return false
	}
	a.used += size
	return true
}

// Close gives back all that is held. Nothing more is granted.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.budget.Add(a.holder, -a.used)
	a.used = 0
}
