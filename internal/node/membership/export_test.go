package membership

// Remembered returns how many other lives the list knows, those included that are down.
func (m *Membership) Remembered() int { return len(m.table.entries) }
