package catalog

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
)

const (
	firstRules core.RulesVersion = 1
	// LimitRules is the first rules version in which commands may carry Limits.
	LimitRules core.RulesVersion = 2
	// DeclarationRules is the first rules version in which submissions may have expectations, declarations, services with any
	// release and routes to several services.
	DeclarationRules core.RulesVersion = 3
	// DepartureRules is the first rules version in which departures are stored.
	DepartureRules core.RulesVersion = 4
	// TenantRules is the first rules version in which submissions may have tenants.
	TenantRules core.RulesVersion = 5
	// KnownRules is the newest version of the rules for deciding commands that this program knows. Any change of how a command is
	// decided needs a new version, and the old rules stay for older log entries: all control instances must decide each entry in
	// the same way, also during an upgrade.
	KnownRules = TenantRules
)

// ErrRulesUnknown means that the rules version in force is newer than this program knows.
const ErrRulesUnknown = errors.ConstError("program too old for the rules in force")

// rulesChange puts a rules version into force for all later entries.
type rulesChange struct {
	Rules core.RulesVersion `msgpack:"rules"`
}

// EncodeRules encodes the leader's proposal to put a rules version into force. Each control instance must know that version.
func EncodeRules(at time.Time, rules core.RulesVersion) ([]byte, error) {
	return encode(ActionRules, at, 0, rulesChange{
		Rules: rules,
	})
}

// Rules returns the rules version in force.
func (c *Catalog) Rules() core.RulesVersion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.rules
}

// raiseRules never lowers the version, so that a duplicate or late proposal changes nothing.
func (c *Catalog) raiseRules(index core.LogIndex, e envelope) (Verdict, error) {
	var change rulesChange
	if err := decode(e.Body, &change); err != nil {
		return c.withRevision(refused(CauseMalformed, "%s: %v", e.Action, err)), nil
	}
	if err := c.checkRules(change.Rules); err != nil {
		return Verdict{}, err
	}
	verdict := c.withRevision(Verdict{
		Result: Accepted,
		At:     e.At,
	})
	if change.Rules > c.rules {
		c.rules = change.Rules
		c.appendAudit(index, e, commandSummary{
			changes: []string{fmt.Sprintf("rules version %d", change.Rules)},
			owners:  []core.TenantID{""},
		}, verdict)
	}
	return verdict, nil
}

func (c *Catalog) checkRules(rules core.RulesVersion) error {
	if rules > c.knownRules {
		return errors.Annotatef(ErrRulesUnknown, "rules version %d, this program knows %d", rules, c.knownRules)
	}
	return nil
}
