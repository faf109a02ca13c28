package sharer

// Check decodes a datagram.
func Check(data []byte) { _, _ = decode(data) }
