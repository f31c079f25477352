package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"parsleyport/core"
)

// Limits of a token.
const (
	maxTokenBytes  = 4 << 10 // of a file with a single token
	minSecretBytes = 16      // of each token in a file with several
	maxSecretBytes = 512
	maxTokens      = 256
)

// defaultTokenName is the name of the token in a file that holds a single token.
const defaultTokenName = "default"

const (
	expectedSecret = "16 to 512 printable ASCII characters without spaces"
	expectedTenant = "a tenant as in service records, 1 to 128 bytes"
)

// Token is one of the operators' tokens. It has all rights if it names no tenants.
type Token struct {
	Name    string
	Secret  string // must not be shown or logged
	Tenants []core.TenantID
}

// LoadTokens reads and checks the operators' tokens; it returns an *Error with all faults, which never show a secret. An empty path
// gives no token.
func LoadTokens(path string) ([]Token, error) {
	if path == "" {
		return nil, nil
	}
	source, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseTokens(path, source)
}

// ParseTokens checks a token file, which holds either one token or an object with several; its errors are those of LoadTokens.
func ParseTokens(file string, source []byte) ([]Token, error) {
	r := &reader{
		file:       file,
		source:     source,
		hideValues: true,
	}
	text := strings.TrimSpace(string(source))
	if !hasNamedTokens(text) {
		if text == "" || len(text) > maxTokenBytes {
			r.fault(1, "", fmt.Sprintf("a token of 1 to %d bytes, or an object with tokens", maxTokenBytes), fmt.Sprintf("%d bytes", len(text)))
		}
		return []Token{{
			Name:   defaultTokenName,
			Secret: text,
		}}, r.err()
	}
	if _, err := hujson.Parse(source); err != nil { // the error may quote a secret
		line := 1
		_, _ = fmt.Sscanf(err.Error(), "hujson: line %d,", &line)
		r.fault(line, "", "JSON with comments", "")
		return nil, r.err()
	}
	top, ok := r.parse()
	if !ok {
		return nil, r.err()
	}
	tokens := readTokens(r, top.list("tokens", fmt.Sprintf("list of 1 to %d tokens", maxTokens)))
	if len(tokens) > maxTokens {
		top.fault("tokens", fmt.Sprintf("at most %d tokens", maxTokens), fmt.Sprint(len(tokens)))
	}
	top.rejectUnknownKeys()
	if err := r.err(); err != nil {
		return nil, err
	}
	return tokens, nil
}

// hasNamedTokens reports whether a token file holds an object. A single token is one line, since it has to fit an HTTP header.
func hasNamedTokens(text string) bool {
	return strings.HasPrefix(text, "{") || strings.Contains(text, "\n")
}

func readTokens(r *reader, elements []element) []Token {
	tokens := make([]Token, 0, len(elements))
	for _, e := range elements {
		o, ok := r.object(e)
		if !ok {
			continue
		}
		token := Token{
			Name:    o.name("name"),
			Secret:  o.secret("secret"),
			Tenants: readTenants(r, o),
		}
		o.rejectUnknownKeys()
		for _, other := range tokens {
			if other.Name == token.Name && token.Name != "" {
				o.fault("name", "a name that is unique", fmt.Sprintf("%q again", token.Name))
			}
			if other.Secret == token.Secret && token.Secret != "" {
				o.fault("secret", "a secret that is unique", "that of "+other.Name)
			}
		}
		tokens = append(tokens, token)
	}
	return tokens
}

func (o *object) secret(name string) string {
	value, _ := o.take(name)
	text, isText := stringLiteral(value)
	if !isText || len(text) < minSecretBytes || len(text) > maxSecretBytes || strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' }) {
		o.fault(name, expectedSecret, o.reader.describeValue(value))
		return ""
	}
	return text
}

// readTenants reads the tenants of a token. All rights have to be stated, so that a forgotten list of tenants does not grant them.
func readTenants(r *reader, o *object) []core.TenantID {
	allRights := o.boolean("all-rights")
	if _, exists := o.values["tenants"]; !exists {
		o.knownKeys = append(o.knownKeys, "tenants")
		if !allRights {
			o.fault("tenants", "a list of tenants, or all-rights true", "neither")
		}
		return nil
	}
	if allRights {
		o.fault("tenants", "a list of tenants, or all-rights true", "both")
	}
	var tenants []core.TenantID
	for _, e := range o.list("tenants", "list of tenants") {
		text, isText := stringLiteral(e.value)
		if !isText || text == "" || len(text) > maxNameBytes {
			r.fault(e.line, e.path, expectedTenant, r.describeValue(e.value))
			continue
		}
		if slices.Contains(tenants, core.TenantID(text)) {
			r.fault(e.line, e.path, "each tenant once", text)
		}
		tenants = append(tenants, core.TenantID(text))
	}
	return tenants
}
