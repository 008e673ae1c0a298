package fleet

// KnownAddrs returns the addresses of the other nodes that are tracked, the silent ones included.
func (f *Fleet) KnownAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.entries))
	for addr := range f.entries {
		out = append(out, addr)
	}
	return out
}
