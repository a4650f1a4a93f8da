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

	private static ZoneCommand command(String id, long afterOffset, long issuedMillis, boolean isOut) {
		return new ZoneCommand(id, afterOffset, issuedMillis, "operator", ZONE, isOut);
	}

	private static Publication publication(String id, boolean isOut) {
		return new Publication(id, Publication.ANY_OFFSET, "operator", new Change.SetZone(ZONE, isOut));
	}

	@Test
	public void commandIsInForceUntilItsPublicationIsRead() {
		ConfigurationState state = ConfigurationState.EMPTY.withZoneCommands(List.of(command("a", -1, 10, true)));
		Assert.assertTrue(state.isZoneOut(ZONE));
		ConfigurationState confirmed = state
			.withConfiguration(Configuration.EMPTY.withPublication(0, publication("a", true)));
		Assert.assertTrue(confirmed.isZoneOut(ZONE));
		Assert.assertTrue(confirmed.unconfirmedZoneCommands().isEmpty());
	}

	@Test
	public void laterPublicationSupersedesTheCommand() {
		ConfigurationState state = ConfigurationState.EMPTY.withZoneCommands(List.of(command("a", -1, 10, true)));
		ConfigurationState next = state
			.withConfiguration(Configuration.EMPTY.withPublication(0, publication("b", false)));
		Assert.assertFalse(next.isZoneOut(ZONE));
		Assert.assertEquals(next.withZoneCommands(List.of(command("a", -1, 10, true))), next);
	}

	@Test
	public void laterCommandSupersedesAnEarlierOneInAnyArrivalOrder() {
		ZoneCommand out = command("a", 3, 10, true);
		ZoneCommand in = command("b", 3, 20, false);
		ConfigurationState first = ConfigurationState.EMPTY.withZoneCommands(List.of(out))
			.withZoneCommands(List.of(in));
		ConfigurationState second = ConfigurationState.EMPTY.withZoneCommands(List.of(in))
			.withZoneCommands(List.of(out));
		Assert.assertFalse(first.isZoneOut(ZONE));
		Assert.assertEquals(first, second);
	}

	@Test
	public void olderConfigurationIsIgnored() {
		Configuration newer = Configuration.EMPTY.withPublication(0, publication("a", true))
			.withPublication(1, publication("b", false));
		Configuration older = Configuration.EMPTY.withPublication(0, publication("a", true));
		ConfigurationState state = ConfigurationState.EMPTY.withConfiguration(newer);
		Assert.assertSame(state.withConfiguration(older), state);
	}

}
