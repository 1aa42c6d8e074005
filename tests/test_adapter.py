import io
import subprocess
import sys
import unittest

from threadshift.adapter.codec import format_ms, read_batches
from threadshift.adapter.host import DispatcherHost
from threadshift.conf.settings import InvalidInput, to_ns

START = ("START i=0 entropy=7 lanes.count=1 lanes.0.name=qty lanes.0.aim=600.0 lanes.0.giveUp=2500.0 "
         "lanes.0.effect=safe lanes.0.worth=1.0 peersTotal=1 tick=4.0 limits.maxAttempts=4 "
         "limits.cancel=true limits.retryAfter=true limits.maxRetryAfter=1000.0 "
         "familyInfo.staysLoaded=9500.0 new.key=x")
LIST = "TABLE list=0 lines=1\nROW rackZone=a sku=s mode=1 cluster=0 worker=10.0.0.1:80 powerHint=1 more=2"
MEMBERS = "MEMBERS i=0 scope=2 generation=1 list=0"
REQUEST = "REQUEST i=0 id=c:one type=qty fn=fn:x timeLeft=240.0 memoryMb=3 atOnce=2"


def batch(*lines, clock="1000.0", frame=1):
    return "\n".join([f"SYNC clock={clock} frame={frame}", *lines, "EOB"]) + "\n"


def replies(text):
    host = DispatcherHost()
    return [host.handle_batch(each) for each in read_batches(io.StringIO(text))]


class Codec(unittest.TestCase):
    def test_times_survive_formatting_and_parsing(self):
        for text, ns in (("0", 0), ("1", 10**6), ("8412.25", 8412250000), ("0.001", 1000), ("0.24", 240000)):
            self.assertEqual(to_ns(text), ns)
            self.assertEqual(to_ns(format_ms(ns)), ns)

    def test_malformed_input_names_the_line(self):
        cases = (
            ("what is=this\n", "line 1"), ("SYNC clock=1.0 frame=1\n", "inside a batch"),
            (batch(START).replace("EOB", "SYNC clock=2 frame=2"), "line 3"),
            (batch(START, "REQUEST i=0 id=c:a type=qty fn=f"), "timeLeft"),
            (batch(START, REQUEST.replace("240.0", "soon")), "timeLeft=soon"),
            (batch("ELAPSED i=x handle=1"), "i=x"), (batch("ELAPSED i=1 handle"), "line 2"),
            (batch("TABLE list=0 lines=2", LIST.splitlines()[1]), "ROW"),
            (batch(LIST.splitlines()[1]), "line 2"),
            (batch(START, MEMBERS), "list 0"), (batch("").replace(" frame=1", ""), "frame"),
        )
        for text, words in cases:
            with self.assertRaises(InvalidInput) as caught:
                replies(text)
            self.assertIn(words, str(caught.exception), text)

    def test_list_numbers_are_resolved_in_order(self):
        other = LIST.replace("10.0.0.1:80", "10.0.0.2:80")
        out = replies(batch(LIST, START, START.replace("i=0", "i=1"), MEMBERS, other,
                            MEMBERS.replace("i=0", "i=1"), REQUEST, REQUEST.replace("i=0", "i=1")))[0]
        sends = [line for line in out if line.startswith("DISPATCH")]
        self.assertEqual(sends, ["DISPATCH i=0 id=c:one worker=10.0.0.1:80",
                                 "DISPATCH i=1 id=c:one worker=10.0.0.2:80"])

    def test_a_restart_and_late_events_are_no_error(self):
        verdict = "VERDICT i=0 id=c:one waitTime=1 worker=10.0.0.1:80 outcome=0 go=0 final=1"
        out = replies(batch(LIST, START, MEMBERS, REQUEST) + batch("KILL i=0", START, MEMBERS, verdict,
                      "ELAPSED i=0 handle=99", "VANISHED i=0 id=c:gone", "VERDICT i=9 id=c:z", frame=2))
        self.assertEqual([line.split()[0] for line in out[1]], ["REMIND", "EOR"])

    def test_a_failing_instance_is_reported(self):
        out = replies(batch(LIST, START, MEMBERS, REQUEST.replace("type=qty", "type=unheard")))[0]
        self.assertTrue(out[0].startswith("BAIL_OUT i=0 words=KeyError"), out)


class Command(unittest.TestCase):
    def run_it(self, text):
        return subprocess.run([sys.executable, "-m", "threadshift.adapter"], input=text, capture_output=True,
                              text=True, timeout=60, check=False)

    def test_transcript(self):
        done = "VERDICT i=0 id=c:one waitTime=9.5 worker=10.0.0.1:80 outcome=0 info=1 go=0 final=1 usage=x9:1"
        it = self.run_it(batch() + batch(LIST, START, MEMBERS, REQUEST, frame=2) +
                         batch(done, clock="1012.0", frame=3))
        self.assertEqual(it.stdout.splitlines(), [
            "EOR frame=1", "DISPATCH i=0 id=c:one worker=10.0.0.1:80", "REMIND i=0 handle=1 in=100",
            "EOR frame=2", "EOR frame=3"])
        self.assertEqual((it.returncode, it.stderr), (0, ""))

    def test_malformed_input_is_one_message_and_an_exit_code(self):
        it = self.run_it("nonsense\n")
        self.assertEqual((it.returncode, it.stdout, it.stderr.count("\n")), (2, "", 1))
        self.assertIn("line 1", it.stderr)


if __name__ == "__main__":
    unittest.main()
