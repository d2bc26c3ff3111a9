//! Draws a load report: requests by verdict, and latencies, over time.

use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use plotters::backend::DrawingBackend;
use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Text;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::load::report::LoadReport;
use crate::ops::load::tally::SecondSample;

/// Width and height of the plot, in pixels.
const PICTURE_SIZE_PIXELS: (u32, u32) = (960, 640);

/// Width reserved for the labels of the vertical axis, in pixels. The horizontal axis
/// gets half as much.
const AXIS_LABEL_PIXELS: u32 = 64;

/// Length of the time axis divided by the duration of the load. The space beyond the
/// load holds the legend.
const TIME_AXIS_RATIO: f64 = 1.15;

/// Color of the lines that mark faults.
const FAULT_COLOR: RGBColor = RGBColor(120, 120, 120);

/// A line of a chart.
struct ChartLine {
    name: &'static str,
    color: RGBColor,
    value: fn(&SecondSample) -> f64,
}

const VERDICT_LINES: [ChartLine; 3] = [
    ChartLine {
        name: "done",
        color: RGBColor(0, 114, 178),
        value: |sample| sample.done as f64,
    },
    ChartLine {
        name: "not run",
        color: RGBColor(230, 159, 0),
        value: |sample| sample.not_run as f64,
    },
    ChartLine {
        name: "may have run",
        color: RGBColor(213, 94, 0),
        value: |sample| sample.may_have_run as f64,
    },
];

const LATENCY_LINES: [ChartLine; 2] = [
    ChartLine {
        name: "p50",
        color: RGBColor(0, 158, 115),
        value: |sample| sample.p50_millis,
    },
    ChartLine {
        name: "p99",
        color: RGBColor(204, 121, 167),
        value: |sample| sample.p99_millis,
    },
];

/// Writes the plot of a load report to a file, in SVG format.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_plot(path: &Path, report: &LoadReport) -> Result<(), Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::InvalidInput,
            format!("failed to write plot {}", path.display()),
        )
    };
    let picture = SVGBackend::new(path, PICTURE_SIZE_PIXELS).into_drawing_area();
    draw(&picture, report).change_context_lazy(context)
}

type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw<'a>(
    picture: &DrawingArea<SVGBackend<'a>, Shift>,
    report: &LoadReport,
) -> Result<(), DrawError<'a>> {
    picture.fill(&WHITE)?;
    let (upper, lower) = picture.split_vertically(PICTURE_SIZE_PIXELS.1 / 2);
    draw_chart(
        &upper,
        report,
        "requests due in each second",
        &VERDICT_LINES,
    )?;
    draw_chart(&lower, report, "latency of answers in ms", &LATENCY_LINES)?;
    picture.present()
}

fn draw_chart<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    report: &LoadReport,
    title: &str,
    lines: &[ChartLine],
) -> Result<(), DrawError<'a>> {
    let seconds = &report.seconds;
    let values = lines
        .iter()
        .flat_map(|line| seconds.iter().map(|sample| (line.value)(sample)));
    let max_value = values.fold(1.0, f64::max) * 1.15;
    let end = (seconds.len() as f64).max(1.0) * TIME_AXIS_RATIO;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(AXIS_LABEL_PIXELS / 2)
        .y_label_area_size(AXIS_LABEL_PIXELS)
        .build_cartesian_2d(0.0..end, 0.0..max_value)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .x_label_formatter(&|value| format!("{value:.0}"))
        .y_label_formatter(&|value| format!("{value:.0}"))
        .light_line_style(WHITE)
        .draw()?;
    for fault in &report.faults {
        let mark = [(fault.at, 0.0), (fault.at, max_value)];
        chart.draw_series(LineSeries::new(mark, &FAULT_COLOR))?;
        let position = (fault.at, max_value * 0.98);
        let text = Text::new(fault.name.clone(), position, ("sans-serif", 12));
        chart.draw_series([text])?;
    }
    for line in lines {
        let color = line.color;
        let points = seconds
            .iter()
            .enumerate()
            .map(|(second, sample)| (second as f64 + 0.5, (line.value)(sample)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleRight)
        .background_style(WHITE.mix(0.8))
        .border_style(FAULT_COLOR)
        .draw()
}
