package prefix

// MaxEndpoints is the number of endpoints in one Index: each is a bit in the mask of a
// block.
const MaxEndpoints = 64

const (
	// minTableSlots is the size of a new table, a power of two.
	minTableSlots = 1 << 10
	// maxLoadNum/maxLoadDen is the fraction of used slots above which a table grows.
	maxLoadNum, maxLoadDen = 3, 4
	// evictSampleBlocks is the number of blocks from which the one to evict is
	// chosen.
	evictSampleBlocks = 8
)

// blockTable maps block hashes to the endpoints that have cached them. It uses open
// addressing with linear probing. A slot with an empty mask is free.
type blockTable struct {
	keys  []uint64
	masks []uint64
	// lastUsed holds the clock, modulo 256, at a block's last use.
	lastUsed  []uint8
	used      int
	maxBlocks int
	// evictCursor is the slot from which the next eviction takes its sample.
	evictCursor uint64
	clock       uint8
}

func newBlockTable(maxBlocks int) *blockTable {
	t := &blockTable{maxBlocks: max(maxBlocks, evictSampleBlocks)}
	t.alloc(minTableSlots)
	return t
}

func (t *blockTable) alloc(slots int) {
	t.keys = make([]uint64, slots)
	t.masks = make([]uint64, slots)
	t.lastUsed = make([]uint8, slots)
}

// find returns the slot of a block, or the free slot where it would be inserted.
func (t *blockTable) find(block uint64) uint64 {
	slotMask := uint64(len(t.keys) - 1)
	at := block & slotMask
	for t.masks[at] != 0 && t.keys[at] != block {
		at = (at + 1) & slotMask
	}
	return at
}

// get returns the mask of endpoints that have cached a block and marks the block as
// used.
func (t *blockTable) get(block uint64) uint64 {
	at := t.find(block)
	if t.masks[at] != 0 {
		t.lastUsed[at] = t.clock
	}
	return t.masks[at]
}

// add records that the endpoints in mask have cached the block.
func (t *blockTable) add(block, mask uint64) {
	at := t.find(block)
	if t.masks[at] == 0 {
		t.makeRoom()
		at = t.find(block)
		t.keys[at] = block
		t.used++
	}
	t.masks[at] |= mask
	t.lastUsed[at] = t.clock
}

// remove records that the endpoints in mask have not cached the block.
func (t *blockTable) remove(block, mask uint64) {
	at := t.find(block)
	if t.masks[at] == 0 {
		return
	}
	if t.masks[at] &^= mask; t.masks[at] == 0 {
		t.free(at)
	}
}

// free empties a slot and moves later entries of its probe sequence back, so that no
// free slot separates an entry from the slot its hash selects.
func (t *blockTable) free(hole uint64) {
	t.used--
	t.masks[hole] = 0
	slotMask := uint64(len(t.keys) - 1)
	for at := (hole + 1) & slotMask; t.masks[at] != 0; at = (at + 1) & slotMask {
		preferred := t.keys[at] & slotMask
		if (at-preferred)&slotMask < (at-hole)&slotMask {
			continue
		}
		t.keys[hole], t.masks[hole], t.lastUsed[hole] = t.keys[at], t.masks[at], t.lastUsed[at]
		t.masks[at] = 0
		hole = at
	}
}

func (t *blockTable) makeRoom() {
	if t.used >= t.maxBlocks {
		t.evict()
		return
	}
	if (t.used+1)*maxLoadDen > len(t.keys)*maxLoadNum {
		t.grow()
	}
}

func (t *blockTable) grow() {
	keys, masks, lastUsed := t.keys, t.masks, t.lastUsed
	t.alloc(2 * len(keys))
	for i, mask := range masks {
		if mask == 0 {
			continue
		}
		at := t.find(keys[i])
		t.keys[at], t.masks[at], t.lastUsed[at] = keys[i], mask, lastUsed[i]
	}
}

// evict frees the least recently used of the next evictSampleBlocks blocks.
func (t *blockTable) evict() {
	slotMask := uint64(len(t.keys) - 1)
	victim, oldest := uint64(0), -1
	for sampled := 0; sampled < evictSampleBlocks; t.evictCursor++ {
		at := t.evictCursor & slotMask
		if t.masks[at] == 0 {
			continue
		}
		sampled++
		if age := int(t.clock - t.lastUsed[at]); age > oldest {
			victim, oldest = at, age
		}
	}
	t.free(victim)
}

// clear removes the endpoints in mask from all blocks. It rebuilds the table, since
// blocks without endpoints leave free slots.
func (t *blockTable) clear(mask uint64) {
	keys, masks, lastUsed := t.keys, t.masks, t.lastUsed
	t.alloc(len(keys))
	t.used = 0
	for i := range masks {
		remaining := masks[i] &^ mask
		if remaining == 0 {
			continue
		}
		at := t.find(keys[i])
		t.keys[at], t.masks[at], t.lastUsed[at] = keys[i], remaining, lastUsed[i]
		t.used++
	}
}

// bytes returns the memory used by the table: key, mask and last use of each slot.
func (t *blockTable) bytes() int { return len(t.keys) * (8 + 8 + 1) }
