package accounts_test

import (
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/accounts"
)

func TestAccounts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accounts")
}

func keys(list ...string) []accounts.Digest {
	var digests []accounts.Digest
	for _, key := range list {
		digests = append(digests, accounts.DigestOf(key))
	}
	return digests
}

var _ = Describe("the table of accounts", func() {
	It("finds the account of each of its keys", func() {
		t, err := accounts.New([]accounts.Account{
			{Name: "a", Keys: keys("k1", "k2", "k1"), Priority: 3, HasPriority: true},
			{Name: "b", Keys: keys("k3")},
			{Name: "without keys"},
		})
		Expect(err).NotTo(HaveOccurred())
		for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
			account, ok := t.Lookup(accounts.DigestOf(key))
			Expect(ok).To(BeTrue())
			Expect(account.Name).To(Equal(name))
		}
		_, ok := t.Lookup(accounts.DigestOf("K1"))
		Expect(ok).To(BeFalse())
		Expect(t.Len()).To(Equal(3))
	})

	// Guards against requests that run for the wrong account, or for anyone.
	DescribeTable("is rejected if a key or a name is ambiguous or empty",
		func(want string, list ...accounts.Account) {
			_, err := accounts.New(list)
			Expect(err).To(MatchError(ContainSubstring(want)))
			Expect(err.Error()).NotTo(ContainSubstring("secret"))
		},
		Entry("a key of two accounts", "have the same key", accounts.Account{Name: "a", Keys: keys("secret")}, accounts.Account{Name: "b", Keys: keys("x", "secret")}),
		Entry("an empty key", "empty key", accounts.Account{Name: "a", Keys: keys("secret", "")}),
		Entry("an empty name", "no name", accounts.Account{Keys: keys("secret")}),
		Entry("a name that would be two header fields", "no name", accounts.Account{Name: "a\r\nKv-Source: x", Keys: keys("secret")}),
		Entry("a name twice", "defined twice", accounts.Account{Name: "a", Keys: keys("secret")}, accounts.Account{Name: "a"}),
	)

	It("restores digests from their text", func() {
		want := accounts.DigestOf("k1")
		Expect(accounts.ParseDigest(want.String())).To(Equal(want))
		for _, text := range []string{"", "k1", strings.Repeat("z", 64), want.String() + "00"} {
			_, err := accounts.ParseDigest(text)
			Expect(err).To(HaveOccurred())
		}
	})
})

// BenchmarkLookup measures the digest and the lookup of one key among those of 9,600
// accounts.
func BenchmarkLookup(b *testing.B) {
	const count = 9_600
	list := make([]accounts.Account, count)
	for i := range list {
		list[i] = accounts.Account{Name: "account-" + strconv.Itoa(i), Keys: keys("42q492cqf75rjvz48wua"+strconv.Itoa(i), "kn2ftimaj3nr26tta828"+strconv.Itoa(i))}
	}
	t, err := accounts.New(list)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, ok := t.Lookup(accounts.DigestOf("42q492cqf75rjvz48wua4711")); !ok {
			b.Fatal("key not found")
		}
	}
}
