package record

import (
	"fmt"
	"sort"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
)

// ErrSchemaFloor means that a record would exist only in schema versions that some attached node does not support.
const ErrSchemaFloor = errors.ConstError("no schema version that every attached node supports")

// CheckSchemaFloor returns ErrSchemaFloor if a selected kind and name has records, but none with a schema version up to floor.
// The floor is the highest schema version that every attached node supports; zero means that no node is attached.
func CheckSchemaFloor(records []core.Record, selected func(core.Kind, string) bool, floor core.SchemaVersion) error {
	if floor == 0 {
		return nil
	}
	type kindAndName struct {
		kind core.Kind
		name string
	}
	supported := make(map[kindAndName]bool)
	for _, r := range records {
		id := kindAndName{
			kind: r.Kind,
			name: r.Name,
		}
		supported[id] = supported[id] || r.SchemaVersion <= floor
	}
	unsupported := lo.Keys(lo.PickBy(supported, func(id kindAndName, ok bool) bool { return !ok && selected(id.kind, id.name) }))
	if len(unsupported) == 0 {
		return nil
	}
	names := lo.Map(unsupported, func(id kindAndName, _ int) string { return fmt.Sprintf("%s %q", id.kind, id.name) })
	sort.Strings(names)
	return errors.Annotatef(ErrSchemaFloor, "%s needs schema version %d or lower", names[0], floor)
}
