//! Draws attainment over time as an SVG chart.

use std::path::Path;

use anyhow::anyhow;
use gooseberry_kernel::settings::Policy;
use plotters::prelude::*;

use crate::compare::Run;
use crate::compare::Setup;
use crate::embedded;
use crate::scenario;
use crate::score::Score;
use crate::score::ratio;

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Draws the attainment in each second, with one line for each run of one
/// scenario.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn draw(path: &Path, setup: &Setup, runs: &[Run]) -> anyhow::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    draw_on(&area, setup, runs).map_err(|error| anyhow!("{}: {error}", path.display()))
}

type Fault<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_on<'a>(
    area: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    setup: &Setup,
    runs: &[Run],
) -> Result<(), Fault<'a>> {
    area.fill(&WHITE)?;
    let seconds = setup.span.as_secs_f64();
    let scenario = runs.first().map_or("", |run| run.scenario.label());
    let title = format!(
        "{}, {scenario}: attainment by second of sending",
        setup.site.name
    );
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds, 0.0..105.0)?;
    chart
        .configure_mesh()
        .max_light_lines(1)
        .x_label_formatter(&|secs| format!("{secs:.0}"))
        .y_label_formatter(&|percent| format!("{percent:.0}"))
        .x_desc("seconds")
        .y_desc("answered whole within the deadline, %")
        .draw()?;
    let (from, to) = scenario::disturbance_span(setup.span);
    for (at, name) in [(from, "out"), (to, "back")] {
        let at = at.as_secs_f64();
        let line = [(at, 0.0), (at, 105.0)];
        chart.draw_series(LineSeries::new(line, BLACK.mix(0.4)))?;
        let style = ("sans-serif", 14).into_font();
        chart.draw_series([Text::new(name, (at + 0.1, 4.0), style)])?;
    }
    for run in runs {
        let color = match run.policy {
            Policy::Adaptive => BLUE,
            Policy::Baseline => RED,
        };
        let points = points(&run.score);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(embedded::label(run.policy))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()
}

/// Returns the midpoint of each second and the percentage of its requests that
/// were answered in time.
fn points(score: &Score) -> Vec<(f64, f64)> {
    let mut at = -0.5;
    let point = |(sent, in_time): &(u64, u64)| {
        at += 1.0;
        (at, ratio(*in_time, *sent) * 100.0)
    };
    score.seconds.iter().map(point).collect()
}
