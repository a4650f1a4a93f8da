package org.poplarloom.core.version;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;

/**
 * Tests for {@link ConfigurationState}.
 * <p>
 * Guard against a zone command that is lost before the log confirms it, or that overrides
 * a later command or publication.
 */
public class ConfigurationStateTests {

	private static final AvailabilityZone ZONE = AvailabilityZone.of("gijon");

	private static ZoneOrder command(String id, long afterOffset, long issuedMillis, boolean isOut) {
		return new ZoneOrder(id, afterOffset, issuedMillis, "operator", ZONE, isOut);
	}

	private static Publication publication(String id, boolean isOut) {
		return new Publication(id, Publication.ANY_OFFSET, "operator", new Change.SetZone(ZONE, isOut));
	}

	@Test
	public void commandIsInForceUntilItsPublicationIsRead() {
		ConfigurationState state = ConfigurationState.EMPTY.withZoneOrders(List.of(command("a", -1, 10, true)));
		Assert.assertTrue(state.isZoneOut(ZONE));
		ConfigurationState confirmed = state.withConfiguration(Configuration.EMPTY.plus(0, publication("a", true)));
		Assert.assertTrue(confirmed.isZoneOut(ZONE));
		Assert.assertTrue(confirmed.unconfirmedOrders().isEmpty());
	}

	@Test
	public void laterPublicationSupersedesTheCommand() {
		ConfigurationState state = ConfigurationState.EMPTY.withZoneOrders(List.of(command("a", -1, 10, true)));
		ConfigurationState next = state.withConfiguration(Configuration.EMPTY.plus(0, publication("b", false)));
		Assert.assertFalse(next.isZoneOut(ZONE));
		Assert.assertEquals(next.withZoneOrders(List.of(command("a", -1, 10, true))), next);
	}

	@Test
	public void laterCommandSupersedesAnEarlierOneInAnyArrivalOrder() {
		ZoneOrder out = command("a", 3, 10, true);
		ZoneOrder in = command("b", 3, 20, false);
		ConfigurationState first = ConfigurationState.EMPTY.withZoneOrders(List.of(out)).withZoneOrders(List.of(in));
		ConfigurationState second = ConfigurationState.EMPTY.withZoneOrders(List.of(in)).withZoneOrders(List.of(out));
		Assert.assertFalse(first.isZoneOut(ZONE));
		Assert.assertEquals(first, second);
	}

	@Test
	public void olderConfigurationIsIgnored() {
		Configuration newer = Configuration.EMPTY.plus(0, publication("a", true)).plus(1, publication("b", false));
		Configuration older = Configuration.EMPTY.plus(0, publication("a", true));
		ConfigurationState state = ConfigurationState.EMPTY.withConfiguration(newer);
		Assert.assertSame(state.withConfiguration(older), state);
	}

}
