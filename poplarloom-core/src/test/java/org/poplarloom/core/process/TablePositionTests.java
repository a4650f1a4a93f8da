package org.poplarloom.core.process;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link TablePosition}.
 */
public class TablePositionTests {

	@Test
	public void aLaterEraIsAfterEveryOffsetOfAnEarlierOne() {
		Assert.assertTrue(TablePosition.of(2, 0).isAfter(TablePosition.of(1, 900)));
		Assert.assertFalse(TablePosition.of(1, 900).isAfter(TablePosition.of(2, 0)));
	}

	@Test
	public void offsetsCountWithinAnEra() {
		Assert.assertTrue(TablePosition.of(2, 5).isAfter(TablePosition.of(2, 4)));
		Assert.assertFalse(TablePosition.of(2, 5).isAfter(TablePosition.of(2, 5)));
	}

	@Test
	public void nonePrecedesTheFirstRecord() {
		Assert.assertTrue(TablePosition.of(0, 0).isAfter(TablePosition.NONE));
		Assert.assertEquals(TablePosition.of(0, 0).max(TablePosition.NONE), TablePosition.of(0, 0));
	}

}
