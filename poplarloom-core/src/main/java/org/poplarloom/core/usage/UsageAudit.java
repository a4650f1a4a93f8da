package org.poplarloom.core.usage;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;

/**
 * Verifies published usage pages and compares what callers and endpoints counted.
 * <p>
 * Reports every page that was changed, is missing, is not signed or lowers a total, and
 * every key for which the callers' and the endpoints' ledgers differ. This class is not
 * thread-safe.
 */
public final class UsageAudit {

	private final Map<String, Map<Long, UsagePage>> chains = new TreeMap<>();

	private final Map<String, List<String>> publicKeys;

	private final Findings findings = new Findings();

	/**
	 * Creates an audit.
	 * @param publicKeys the public keys of each owner in Base64, including earlier ones;
	 * if there are none, signatures are not verified
	 */
	public UsageAudit(Map<String, List<String>> publicKeys) {
		this.publicKeys = Map.copyOf(publicKeys);
	}

	/**
	 * Adds a page; the same page may be added again.
	 * @param page the page
	 */
	public void add(UsagePage page) {
		UsagePage known = this.chains.computeIfAbsent(page.chain(), (key) -> new TreeMap<>())
			.putIfAbsent(page.sequence(), page);
		if (known != null && !known.equals(page)) {
			addMismatch(page, "was published twice with different contents");
		}
	}

	private void addMismatch(UsagePage page, String problem) {
		this.findings.add(page.chain() + " page " + page.sequence(), ErrorCode.BOOK_MISMATCH, problem);
	}

	/**
	 * Adds up the usage of all sources.
	 * @param kind who counted
	 * @return the totals by key; the highest total of each source counts once
	 */
	public Map<UsageLedger.Key, UsageLedger.Totals> totals(UsagePage.Kind kind) {
		Map<String, UsageLedger.Line> highest = new HashMap<>();
		for (Map<Long, UsagePage> chain : this.chains.values()) {
			for (UsagePage page : chain.values()) {
				if (page.kind() == kind) {
					page.lines()
						.forEach((line) -> highest.merge(line.source() + "@" + line.key(), line, UsageAudit::maximum));
				}
			}
		}
		Map<UsageLedger.Key, UsageLedger.Totals> sums = new TreeMap<>();
		highest.values().forEach((line) -> sums.merge(line.key(), line.totals(), UsageLedger.Totals::plus));
		return sums;
	}

	private static UsageLedger.Line maximum(UsageLedger.Line first, UsageLedger.Line second) {
		return new UsageLedger.Line(first.source(), first.key(), first.totals().max(second.totals()));
	}

	/**
	 * Verifies every chain and compares the ledgers of closed periods.
	 * @param closedBeforeMillis periods that started earlier are compared, in
	 * milliseconds since the epoch
	 * @return the problems found, including those of {@link #add(UsagePage)}
	 */
	public Findings verify(long closedBeforeMillis) {
		this.chains.values().forEach((chain) -> verifyChain(new ArrayList<>(chain.values())));
		compare(closedBeforeMillis);
		return this.findings;
	}

	private void verifyChain(List<UsagePage> pages) {
		pages.sort(Comparator.comparingLong(UsagePage::sequence));
		Map<String, UsageLedger.Totals> latest = new HashMap<>();
		UsagePage previous = null;
		for (UsagePage page : pages) {
			verifyPage(page);
			verifyLink(previous, page);
			for (UsageLedger.Line line : page.lines()) {
				UsageLedger.Totals earlier = latest.put(line.source() + "@" + line.key(), line.totals());
				if (earlier != null && line.totals().isLowerThan(earlier)) {
					addMismatch(page, "lowers " + line.key() + " from " + earlier + " to " + line.totals());
				}
			}
			previous = page;
		}
	}

	private void verifyPage(UsagePage page) {
		if (!page.computeHash().equals(page.hash())) {
			addMismatch(page, "was changed after it was written: its hash does not match");
		}
		if (this.publicKeys.isEmpty()) {
			return;
		}
		List<String> keys = this.publicKeys.getOrDefault(page.signer(), List.of());
		boolean isSigned = keys.stream()
			.anyMatch((key) -> OwnerKey.isValidSignature(page.hash(), page.signature(), key));
		if (!isSigned) {
			addMismatch(page, "is not signed with a known key of '" + page.signer() + "'");
		}
	}

	private void verifyLink(UsagePage previous, UsagePage page) {
		long expected = (previous != null) ? previous.sequence() + 1 : 0;
		if (page.sequence() != expected) {
			addMismatch(page, "pages " + expected + " to " + (page.sequence() - 1) + " are missing");
		}
		else if (previous != null && !page.previousHash().equals(previous.hash())) {
			addMismatch(page, "does not follow the previous page: one of them was replaced");
		}
	}

	private void compare(long closedBeforeMillis) {
		Map<UsageLedger.Key, UsageLedger.Totals> callers = totals(UsagePage.Kind.CALLER);
		Map<UsageLedger.Key, UsageLedger.Totals> endpoints = totals(UsagePage.Kind.ENDPOINT);
		TreeSet<UsageLedger.Key> keys = new TreeSet<>(callers.keySet());
		keys.addAll(endpoints.keySet());
		for (UsageLedger.Key key : keys) {
			UsageLedger.Totals callerTotals = callers.getOrDefault(key, UsageLedger.Totals.ZERO);
			UsageLedger.Totals endpointTotals = endpoints.getOrDefault(key, UsageLedger.Totals.ZERO);
			if (key.isReported() && key.periodMillis() < closedBeforeMillis && !callerTotals.equals(endpointTotals)) {
				this.findings.add(describe(key), ErrorCode.BOOK_MISMATCH,
						"callers' ledgers total " + callerTotals + ", endpoints' ledgers total " + endpointTotals);
			}
		}
	}

	private static String describe(UsageLedger.Key key) {
		return "owner " + key.owner() + ", team " + key.team() + ", model " + key.model() + ", endpoint "
				+ key.endpoint() + ", period " + Instant.ofEpochMilli(key.periodMillis());
	}

}
