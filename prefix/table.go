package prefix

// MaxEndpoints is the number of endpoints that one Index knows: the bits of a
// block's mask.
const MaxEndpoints = 64

const (
	// minSlots is the size of a new table, a power of two.
	minSlots = 1 << 10
	// A table grows or evicts when more than loadNum/loadDen of it is used.
	loadNum, loadDen = 3, 4
	// evictSample is how many blocks compete to be the one evicted.
	evictSample = 8
)

// blockTable maps block hashes to the endpoints that hold them: open addressing
// with linear probing. A slot with an empty mask is free.
type blockTable struct {
	keys  []uint64
	masks []uint64
	// ages holds the low byte of the clock at a block's last use.
	ages  []uint8
	used  int
	limit int
	hand  uint64
	clock uint8
}

func newBlockTable(maxBlocks int) *blockTable {
	t := &blockTable{limit: max(maxBlocks, evictSample)}
	t.alloc(minSlots)
	return t
}

func (t *blockTable) alloc(slots int) {
	t.keys = make([]uint64, slots)
	t.masks = make([]uint64, slots)
	t.ages = make([]uint8, slots)
}

// find returns the slot of a block, or the free slot where it belongs.
func (t *blockTable) find(block uint64) uint64 {
	wrap := uint64(len(t.keys) - 1)
	at := block & wrap
	for t.masks[at] != 0 && t.keys[at] != block {
		at = (at + 1) & wrap
	}
	return at
}

// get returns the endpoints that hold a block and marks it as used.
func (t *blockTable) get(block uint64) uint64 {
	at := t.find(block)
	if t.masks[at] != 0 {
		t.ages[at] = t.clock
	}
	return t.masks[at]
}

// add notes that the endpoints in mask hold the block.
func (t *blockTable) add(block, mask uint64) {
	at := t.find(block)
	if t.masks[at] == 0 {
		t.makeRoom()
		at = t.find(block)
		t.keys[at] = block
		t.used++
	}
	t.masks[at] |= mask
	t.ages[at] = t.clock
}

// remove notes that the endpoints in mask do not hold the block.
func (t *blockTable) remove(block, mask uint64) {
	at := t.find(block)
	if t.masks[at] == 0 {
		return
	}
	if t.masks[at] &^= mask; t.masks[at] == 0 {
		t.free(at)
	}
}

// free closes the hole at a slot whose mask has become empty.
func (t *blockTable) free(hole uint64) {
	t.used--
	t.masks[hole] = 0
	wrap := uint64(len(t.keys) - 1)
	for at := (hole + 1) & wrap; t.masks[at] != 0; at = (at + 1) & wrap {
		home := t.keys[at] & wrap
		if (at-home)&wrap < (at-hole)&wrap {
			continue
		}
		t.keys[hole], t.masks[hole], t.ages[hole] = t.keys[at], t.masks[at], t.ages[at]
		t.masks[at] = 0
		hole = at
	}
}

func (t *blockTable) makeRoom() {
	if t.used >= t.limit {
		t.evict()
		return
	}
	if (t.used+1)*loadDen > len(t.keys)*loadNum {
		t.grow()
	}
}

func (t *blockTable) grow() {
	keys, masks, ages := t.keys, t.masks, t.ages
	t.alloc(2 * len(keys))
	for i, mask := range masks {
		if mask == 0 {
			continue
		}
		at := t.find(keys[i])
		t.keys[at], t.masks[at], t.ages[at] = keys[i], mask, ages[i]
	}
}

// evict frees the block used longest ago among the next few.
func (t *blockTable) evict() {
	wrap := uint64(len(t.keys) - 1)
	victim, oldest := uint64(0), -1
	for seen := 0; seen < evictSample; t.hand++ {
		at := t.hand & wrap
		if t.masks[at] == 0 {
			continue
		}
		seen++
		if age := int(t.clock - t.ages[at]); age > oldest {
			victim, oldest = at, age
		}
	}
	t.free(victim)
}

// clear forgets what the endpoints in mask hold.
func (t *blockTable) clear(mask uint64) {
	keys, masks, ages := t.keys, t.masks, t.ages
	t.alloc(len(keys))
	t.used = 0
	for i := range masks {
		kept := masks[i] &^ mask
		if kept == 0 {
			continue
		}
		at := t.find(keys[i])
		t.keys[at], t.masks[at], t.ages[at] = keys[i], kept, ages[i]
		t.used++
	}
}

// bytes returns the memory of the table.
func (t *blockTable) bytes() int { return len(t.keys) * (8 + 8 + 1) }
