package membership

// Remembered returns the number of processes of other nodes that are remembered, dead ones
// included.
func (m *Membership) Remembered() int { return len(m.table.entries) }
