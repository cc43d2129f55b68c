package session

import (
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/gravitational/trace"
)

// MaxAge is how long a session token is valid after it was issued.
const MaxAge = 24 * time.Hour

// Claims are the contents of a session token.
type Claims struct {
	Customer string `json:"cus"`
	Session  string `json:"sid"`
	// Versions holds the session's version of each model it has used.
	Versions map[string]string `json:"ver"`
	jwt.RegisteredClaims
}

// Keyring signs with the current key and verifies with any key it holds.
type Keyring struct {
	current string
	keys    map[string][]byte
}

// NewKeyring returns a keyring that signs with the key current; keys maps key ids
// to secrets of at least 32 bytes.
func NewKeyring(current string, keys map[string][]byte) (*Keyring, error) {
	if _, ok := keys[current]; !ok {
		return nil, trace.BadParameter("session: current key %q is not in the keyring", current)
	}
	for id, k := range keys {
		if len(k) < 32 {
			return nil, trace.BadParameter("session: key %q is %d bytes; at least 32 are needed", id, len(k))
		}
	}
	return &Keyring{current: current, keys: keys}, nil
}

// Sign returns a token for c issued at now.
func (k *Keyring) Sign(c Claims, now time.Time) (string, error) {
	c.IssuedAt = jwt.NewNumericDate(now)
	c.ExpiresAt = jwt.NewNumericDate(now.Add(MaxAge))
	t := jwt.NewWithClaims(jwt.SigningMethodHS256, c)
	t.Header["kid"] = k.current
	s, err := t.SignedString(k.keys[k.current])
	return s, trace.Wrap(err)
}

// ErrInvalid is returned for a token that is forged, expired, signed by an unknown
// key, or malformed. The session is then treated as new; the caller gets no error.
var ErrInvalid = trace.AccessDenied("session: token is not valid")

// Verify checks tok at now and returns its claims.
func (k *Keyring) Verify(tok string, now time.Time) (Claims, error) {
	var c Claims
	_, err := jwt.ParseWithClaims(tok, &c, func(t *jwt.Token) (any, error) {
		id, _ := t.Header["kid"].(string)
		key, ok := k.keys[id]
		if !ok {
			return nil, ErrInvalid
		}
		return key, nil
	}, jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}), jwt.WithTimeFunc(func() time.Time { return now }))
	if err != nil {
		return Claims{}, ErrInvalid
	}
	return c, nil
}
