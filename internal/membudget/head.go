package membudget

// What a head takes, parsed and copied: its bytes twice, and for each field the entries of two
// maps, the strings and their headers.
const (
	headByteCost  = 2
	headFieldCost = 256
	// headStep is the unit in which memory for heads is reserved.
	headStep = 4 << 10
)

// Head is the memory of the head of a request or of a response.
type Head struct {
	// Bytes and Fields are what has been received of it.
	Bytes, Fields int
	reserved      int64
}

// Add adds what has been received. It returns false if budget, unless that is nil, has no memory
// for it.
func (h *Head) Add(bytes, fields int, budget *Budget) bool {
	h.Bytes += bytes
	h.Fields += fields
	if budget == nil {
		return true
	}
	missing := int64(h.Bytes*headByteCost+h.Fields*headFieldCost) - FreeHead - h.reserved
	if missing <= 0 {
		return true
	}
	missing = (missing + headStep - 1) / headStep * headStep
	if !budget.Acquire(missing) {
		return false
	}
	h.reserved += missing
	return true
}

// Release ends the reservation of the memory.
func (h *Head) Release(budget *Budget) {
	if h.reserved > 0 {
		budget.Release(h.reserved)
	}
	*h = Head{}
}
