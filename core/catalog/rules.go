package catalog

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
)

const (
	firstRules core.RulesVersion = 1
	// LimitRules are the rules from which on commands may carry Limits.
	LimitRules core.RulesVersion = 2
	// DeclarationRules are the rules from which on submissions may have expectations, declarations, services with any release
	// and routes to several services.
	DeclarationRules core.RulesVersion = 3
	// KnownRules is the newest version of the rules for deciding commands that this program knows. A change of how any
	// command is decided needs a new version, and the old rules stay for older log entries: all control instances must
	// decide each entry alike, also while an upgrade is under way.
	KnownRules = DeclarationRules
)

// ErrRulesUnknown means that rules are in force which this program does not know.
const ErrRulesUnknown = errors.ConstError("program too old for the rules in force")

// rulesChange brings a version of the rules into force for all entries after it.
type rulesChange struct {
	Rules core.RulesVersion `msgpack:"rules"`
}

// EncodeRules encodes the leader's proposal to bring rules into force; each control instance must know them.
func EncodeRules(at time.Time, rules core.RulesVersion) ([]byte, error) {
	return encode(ActionRules, at, 0, rulesChange{
		Rules: rules,
	})
}

// Rules returns the version of the rules in force.
func (c *Catalog) Rules() core.RulesVersion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.rules
}

// raiseRules never lowers the version, so that a proposal which arrives twice or late changes nothing.
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
