import unittest

from threadshift.interface import Effect
from threadshift.packs.registry import Pack, RejectedChange, Registry


def pack(version="1", digest="a" * 64, name="rules", **changes):
    return Pack(name, version, digest, Effect.ONCE_ONLY, 2, 1 << 20)._replace(**changes)


def registry(*versions):
    store = Registry()
    for version in versions:
        store.apply(store.add(pack(version)))
    return store


class RegistryChanges(unittest.TestCase):
    def test_versions_are_immutable(self):
        store = registry("1")
        self.assertIsNone(store.add(pack("1")))
        for rejected, message in ((pack(digest="b" * 64), "immutable"), (pack("2", "xyz"), "no sha256"),
                                  (pack("2", name="a b"), "name"), (pack("v@2"), "version"),
                                  (pack("2", lanes=0), "lanes")):
            with self.assertRaisesRegex(RejectedChange, message):
                store.add(rejected)

    def test_aliases_move_and_their_history_stays(self):
        store = registry("1", "2")
        for version, why in (("1", "first"), ("2", "new tariff"), ("1", "rolled back")):
            store.apply(store.move("rules", "current", version, "ann", 5, why))
        self.assertEqual([(each.before, each.version) for each in store.history("rules")],
                         [("", "1"), ("1", "2"), ("2", "1")])
        found = [store.resolve(reference).version for reference in ("rules", "rules@current", "rules@2")]
        self.assertEqual(found, ["1", "1", "2"])
        for arguments, message in ((("rules", "current", "9"), "no version"), (("other", "current", "1"), "no pack"),
                                   (("rules", "2", "1"), "is a version"), (("rules", "current", "1"), "already")):
            with self.assertRaisesRegex(RejectedChange, message):
                store.move(*arguments, "ann", 6, "")
        with self.assertRaises(KeyError):
            store.resolve("rules@winter")


if __name__ == "__main__":
    unittest.main()
