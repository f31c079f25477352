package catalog

import (
	"encoding/json"
	"time"

	"parsleyport/core"
)

// checkPreconditions refuses a submission that expects other versions than those in force, or that needs newer rules than those
// in force. The refusal is not stored, since the same submission may be accepted later.
func (c *Catalog) checkPreconditions(e envelope, id core.SubmissionID, body any) *Verdict {
	s, isSubmission := body.(core.Submission)
	if !isSubmission {
		return nil
	}
	refusal := c.checkRequiredRules(s)
	if refusal == nil {
		refusal = c.checkExpectations(e.principal(), s)
	}
	if refusal != nil {
		refusal.Submission, refusal.At = id, e.At
	}
	return refusal
}

func (c *Catalog) checkRequiredRules(s core.Submission) *Verdict {
	required := requiredRules(s)
	if c.rules >= required {
		return nil
	}
	refusal := refused(CauseRules, "rules version %d is in force, the submission needs version %d", c.rules, required)
	return &refusal
}

// RulesRefusal returns the refusal of a submission that needs newer rules than those in force; it is false if they suffice. Callers use
// it to keep such a submission out of the log, since a program that does not know these rules would not refuse it.
func (c *Catalog) RulesRefusal(at time.Time, s core.Submission) (Verdict, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	refusal := c.checkRequiredRules(s)
	if refusal == nil {
		return Verdict{}, false
	}
	refusal.Submission, refusal.At = s.ID, at.UTC()
	return c.withRevision(*refusal), true
}

// requiredRules returns the rules version that a submission needs.
func requiredRules(s core.Submission) core.RulesVersion {
	for _, r := range s.Records {
		if r.Kind == core.KindTenant {
			return TenantRules
		}
	}
	if needsDeclarationRules(s) {
		return DeclarationRules
	}
	return firstRules
}

func needsDeclarationRules(s core.Submission) bool {
	if len(s.Expect) > 0 {
		return true
	}
	for _, r := range s.Records {
		var body struct {
			AnyRelease bool                `json:"any-release"`
			Split      []core.ServiceShare `json:"split"`
		}
		if r.Kind == core.KindDeclaration {
			return true
		}
		if err := json.Unmarshal(r.Body, &body); err == nil && (body.AnyRelease || len(body.Split) > 0) {
			return true
		}
	}
	return false
}

func (c *Catalog) checkExpectations(principal Principal, s core.Submission) *Verdict {
	o := newOwnerLookup(c.configuration, s.Records)
	for _, expected := range s.Expect {
		current, exists := c.configuration.Record(expected.Key())
		if principal.IsLimited() && !principal.CanAccess(o.tenantBefore(expected.Kind, expected.Name, nil)) {
			return notPermitted("%s: there is no such record of a tenant of this token", describe(expected.Key(), expected.Version))
		}
		if current.Version == expected.Version {
			continue
		}
		refusal := refused(CauseExpectation, "%s is expected, there is no such record", describe(expected.Key(), expected.Version))
		if exists {
			refusal = refused(CauseExpectation, "%s is expected, version %d is in force", describe(expected.Key(), expected.Version), current.Version)
			refusal = refusal.withWinner(c.lastChanges[expected.Key()])
		}
		return &refusal
	}
	return nil
}

// Verdict returns the stored verdict of a submission by an unlimited principal.
func (c *Catalog) Verdict(id core.SubmissionID) (Verdict, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	past, exists := c.verdicts.byID[submissionKey{id: id}]
	return past.Verdict, exists
}
