import * as ava from "ava";
import * as surgeForecast from "./surge_forecast.ts";

const test = ava.default;

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;
const INTERVAL_MILLISECONDS = 30_000;

/**
 * Returns a forecast that has observed one hour, with four times the usual rate
 * in its first two minutes.
 */
function afterOneHour(): surgeForecast.SurgeForecast {
  const forecast = new surgeForecast.SurgeForecast();
  for (let at = 0; at < HOUR_MILLISECONDS; at += INTERVAL_MILLISECONDS) {
    forecast.observe(at < 2 * MINUTE_MILLISECONDS ? 4_000 : 1_000, at);
  }
  return forecast;
}

test("a surge at the start of an hour is expected at the start of later ones", (t) => {
  const forecast = afterOneHour();
  t.true(
    forecast.expectsSurge(
      2 * HOUR_MILLISECONDS - MINUTE_MILLISECONDS,
      2 * MINUTE_MILLISECONDS,
    ),
  );
  t.true(forecast.expectsSurge(2 * HOUR_MILLISECONDS + MINUTE_MILLISECONDS, 0));
  t.false(
    forecast.expectsSurge(
      2 * HOUR_MILLISECONDS + 10 * MINUTE_MILLISECONDS,
      2 * MINUTE_MILLISECONDS,
    ),
  );
});

test("no surge is expected before half of the intervals were observed", (t) => {
  const forecast = new surgeForecast.SurgeForecast();
  forecast.observe(4_000, 0);
  forecast.observe(1_000, INTERVAL_MILLISECONDS);
  t.false(forecast.expectsSurge(HOUR_MILLISECONDS, INTERVAL_MILLISECONDS));
});
