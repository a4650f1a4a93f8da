package org.poplarloom.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.TeamId;

/**
 * Tests for {@link UsageAudit}.
 * <p>
 * Guard against false reports, which arise if a page is appended twice or an endpoint
 * restarts or gets another home, and against undetected changes of published pages.
 */
public class UsageAuditTests {

	private static final UsageLedger.Key KEY = UsageLedger.Key.of(0, "ashwell", TeamId.of("brindley"), "loom-large",
			EndpointId.of("e1"));

	private static final OwnerKey.Pair KEYS = OwnerKey.generate();

	private static final OwnerKey SIGNER = OwnerKey.parse("ashwell", KEYS.privateKey());

	private static UsageLedger.Line line(String source, long requests) {
		return new UsageLedger.Line(source, KEY, new UsageLedger.Totals(requests, requests * 1_000, requests * 10));
	}

	private static List<UsagePage> chain(String writer, UsagePage.Kind kind, String source, long... requests) {
		List<UsagePage> pages = new ArrayList<>();
		UsagePage previous = null;
		for (long count : requests) {
			previous = UsagePage.after(previous, writer, kind, SIGNER, List.of(line(source, count)));
			pages.add(previous);
		}
		return pages;
	}

	private static List<String> verify(List<UsagePage> callers, List<UsagePage> endpoints) {
		UsageAudit audit = new UsageAudit(Map.of("ashwell", List.of(KEYS.publicKey())));
		callers.forEach(audit::add);
		endpoints.forEach(audit::add);
		return audit.verify(Long.MAX_VALUE).entries().stream().map(Object::toString).toList();
	}

	private static List<UsagePage> callers() {
		return chain("i1@1", UsagePage.Kind.CALLER, "i1@1", 1, 4, 9);
	}

	private static List<UsagePage> endpoints() {
		return chain("i2@1", UsagePage.Kind.ENDPOINT, "e1-boot", 2, 9);
	}

	/**
	 * Unchanged ledgers, for which nothing is reported.
	 */
	public static class UnchangedLedgers {

		@Test
		public void repeatedPagesAreCountedOnce() {
			List<UsagePage> repeated = new ArrayList<>(callers());
			repeated.addAll(callers().subList(0, 2));
			Assert.assertEquals(verify(repeated, endpoints()), List.of());
		}

		@Test
		public void endpointWhoseHomeChangesIsCountedOnce() {
			List<UsagePage> endpointPages = new ArrayList<>(chain("i2@1", UsagePage.Kind.ENDPOINT, "e1-boot", 2, 5));
			endpointPages.addAll(chain("i3@1", UsagePage.Kind.ENDPOINT, "e1-boot", 5, 9));
			Assert.assertEquals(verify(callers(), endpointPages), List.of());
		}

		@Test
		public void totalsOfARestartedEndpointAreAddedUp() {
			List<UsagePage> endpointPages = new ArrayList<>(chain("i2@1", UsagePage.Kind.ENDPOINT, "e1-boot", 5));
			endpointPages.addAll(chain("i3@1", UsagePage.Kind.ENDPOINT, "e1-boot-2", 4));
			Assert.assertEquals(verify(callers(), endpointPages), List.of());
		}

	}

	/**
	 * Ledgers that were changed after they were published.
	 */
	public static class ChangedLedgers {

		@Test
		public void changedLineIsReported() {
			List<UsagePage> pages = callers();
			UsagePage page = pages.get(1);
			pages.set(1, new UsagePage(page.writer(), page.kind(), page.signer(), page.sequence(), page.previousHash(),
					List.of(line("i1@1", 2)), page.hash(), page.signature()));
			List<String> found = verify(pages, endpoints());
			Assert.assertEquals(found.size(), 1, found.toString());
			Assert.assertTrue(found.get(0).startsWith("i1@1/CALLER page 1: book_mismatch: was changed"), found.get(0));
		}

		@Test
		public void pageReplacedAndSignedAgainBreaksTheChain() {
			List<UsagePage> pages = callers();
			pages.set(1,
					UsagePage.after(pages.get(0), "i1@1", UsagePage.Kind.CALLER, SIGNER, List.of(line("i1@1", 3))));
			List<String> found = verify(pages, endpoints());
			Assert.assertEquals(found.size(), 1, found.toString());
			Assert.assertTrue(found.get(0).contains("page 2: book_mismatch: does not follow"), found.get(0));
		}

		@Test
		public void rewrittenChainDiffersFromTheEndpoints() {
			List<String> found = verify(chain("i1@1", UsagePage.Kind.CALLER, "i1@1", 1, 4, 6), endpoints());
			Assert.assertEquals(found.size(), 1, found.toString());
			Assert.assertTrue(found.get(0).startsWith("owner ashwell, team brindley, model loom-large, endpoint e1"),
					found.get(0));
		}

		@Test
		public void missingPagesAreReported() {
			List<UsagePage> pages = callers();
			pages.remove(1);
			List<String> found = verify(pages, endpoints());
			Assert.assertEquals(found.size(), 1, found.toString());
			Assert.assertTrue(found.get(0).contains("pages 1 to 1 are missing"), found.get(0));
		}

		@Test
		public void loweredTotalIsReported() {
			List<String> found = verify(chain("i1@1", UsagePage.Kind.CALLER, "i1@1", 1, 9, 4), endpoints());
			Assert.assertEquals(found.size(), 1, found.toString());
			Assert.assertTrue(found.get(0).contains("page 2: book_mismatch: lowers"), found.get(0));
		}

		@Test
		public void pageSignedByAnotherKeyIsReported() {
			OwnerKey other = OwnerKey.parse("ashwell", OwnerKey.generate().privateKey());
			UsagePage forged = UsagePage.after(null, "i1@1", UsagePage.Kind.CALLER, other, List.of(line("i1@1", 9)));
			List<String> found = verify(List.of(forged), endpoints());
			Assert.assertEquals(found.size(), 1, found.toString());
			Assert.assertTrue(found.get(0).contains("is not signed with a known key of 'ashwell'"), found.get(0));
		}

	}

}
